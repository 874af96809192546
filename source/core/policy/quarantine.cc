#include "policy/quarantine.h"

#include <algorithm>
#include <utility>

namespace daisywind::policy {
namespace {

// Crash reports of one endpoint within this time are the same crash. Crashes in
// one failure domain within this time are counted together.
constexpr auto kCrashWindow = 5s;
constexpr auto kEvidenceAge = 600s;
constexpr auto kQuarantineTime = 3600s;
constexpr auto kMinDomainCrashes = std::size_t{3};
constexpr auto kCrashesToQuarantine = std::size_t{2};

}  // namespace

auto quarantine::IsDomainFailure(const failure_domain_id& failure_domain) const
    -> bool {
  auto endpoints = std::set<endpoint_id>{};
  for (const auto& item : recent_crashes_) {
    if (item.failure_domain == failure_domain) {
      endpoints.insert(item.endpoint);
    }
  }
  return endpoints.size() >= kMinDomainCrashes;
}

auto quarantine::DropDomainEvidence(const failure_domain_id& failure_domain)
    -> void {
  for (const auto& item : recent_crashes_) {
    if (item.failure_domain != failure_domain) {
      continue;
    }
    const auto is_same = [&item](const auto& other) {
      return other.endpoint == item.endpoint && other.observed_at == item.at;
    };
    std::erase_if(crashes_, is_same);
    std::erase_if(outbox_.crashes, is_same);
  }
}

auto quarantine::OnCrash(const endpoint_id& endpoint,
                         const failure_domain_id& failure_domain,
                         std::span<const digest> bodies,
                         instant now) -> void {
  Advance(now);
  recent_crashes_.push_back({failure_domain, endpoint, now});
  if (IsDomainFailure(failure_domain)) {
    DropDomainEvidence(failure_domain);
    return;
  }
  const auto evidence =
      crash_evidence{endpoint, now, {bodies.begin(), bodies.end()}};
  outbox_.crashes.push_back(evidence);
  AddCrash(evidence);
  UpdateQuarantined();
}

auto quarantine::AddCrash(const crash_evidence& evidence) -> void {
  // Gateways observe the same crash at slightly different times.
  const auto same = std::ranges::find_if(crashes_, [&](const auto& item) {
    const auto apart = item.observed_at > evidence.observed_at
                           ? item.observed_at - evidence.observed_at
                           : evidence.observed_at - item.observed_at;
    return item.endpoint == evidence.endpoint && apart < kCrashWindow;
  });
  if (same != crashes_.end()) {
    same->bodies.insert(evidence.bodies.begin(), evidence.bodies.end());
    return;
  }
  crashes_.push_back({evidence.endpoint, evidence.observed_at, {}});
  crashes_.back().bodies.insert(evidence.bodies.begin(), evidence.bodies.end());
}

auto quarantine::CrashesOf(const digest& body) const
    -> std::vector<const crash*> {
  auto out = std::vector<const crash*>{};
  for (const auto& item : crashes_) {
    if (item.bodies.contains(body)) {
      out.push_back(&item);
    }
  }
  return out;
}

auto quarantine::UpdateQuarantined() -> void {
  auto bodies = std::set<digest>{};
  for (const auto& item : crashes_) {
    bodies.insert(item.bodies.begin(), item.bodies.end());
  }
  for (const auto& body : bodies) {
    const auto crashes = CrashesOf(body);
    auto endpoints = std::set<endpoint_id>{};
    for (const auto* item : crashes) {
      endpoints.insert(item->endpoint);
    }
    if (endpoints.size() < kCrashesToQuarantine) {
      continue;
    }
    const auto is_only_candidate =
        std::ranges::none_of(bodies, [&](const auto& other) {
          return other != body &&
                 std::ranges::all_of(crashes, [&other](const crash* item) {
                   return item->bodies.contains(other);
                 });
        });
    if (is_only_candidate) {
      quarantined_[body] = now_ + kQuarantineTime;
    }
  }
}

auto quarantine::Clear(const digest& body) -> void {
  for (auto& item : crashes_) {
    item.bodies.erase(body);
  }
}

auto quarantine::OnCompleted(const digest& body) -> void {
  if (!IsSuspect(body)) {
    return;
  }
  Clear(body);
  outbox_.cleared.push_back(body);
  UpdateQuarantined();
}

auto quarantine::Merge(const quarantine_message& message, instant now) -> void {
  Advance(now);
  for (const auto& evidence : message.crashes) {
    // Instants of another process are not comparable with those of this one,
    // so the time of receipt is used.
    AddCrash({evidence.endpoint, now, evidence.bodies});
  }
  for (const auto& body : message.cleared) {
    Clear(body);
  }
  UpdateQuarantined();
}

auto quarantine::TakeMessage() -> quarantine_message {
  return std::exchange(outbox_, {});
}

auto quarantine::Advance(instant now) -> void {
  now_ = now;
  std::erase_if(recent_crashes_, [now](const auto& item) {
    return now - item.at > kCrashWindow;
  });
  std::erase_if(crashes_, [now](const auto& item) {
    return now - item.observed_at > kEvidenceAge;
  });
  std::erase_if(quarantined_,
                [now](const auto& item) { return item.second <= now; });
}

auto quarantine::IsQuarantined(const digest& body) const -> bool {
  return quarantined_.contains(body);
}

auto quarantine::IsSuspect(const digest& body) const -> bool {
  return std::ranges::any_of(crashes_, [&body](const auto& item) {
    return item.bodies.contains(body);
  });
}

}  // namespace daisywind::policy
