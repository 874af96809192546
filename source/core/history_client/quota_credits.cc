#include "history_client/quota_credits.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace daisywind::history {
namespace {

auto Seconds(duration value) -> double {
  return std::chrono::duration<double>(value).count();
}

}  // namespace

auto quota_credits::SetMembers(std::vector<std::string> addresses) -> void {
  members_ = std::move(addresses);
}

auto quota_credits::OnArrival(const organisation_id& organisation,
                              const request_limit& limit,
                              instant now) -> void {
  auto& item = accounts_[organisation];
  item.limit = limit;
  const auto window = Seconds(options_.rate_window);
  const auto elapsed = Seconds(now - item.arrived_at);
  item.rate = item.rate * std::exp(-elapsed / window) + 1.0 / window;
  item.arrived_at = now;
}

auto quota_credits::Take(const organisation_id& organisation, instant now)
    -> std::optional<quota_credit> {
  const auto found = accounts_.find(organisation);
  if (found == accounts_.end()) {
    return std::nullopt;
  }
  auto& item = found->second;
  DropLapsed(item, now);
  if (item.credits.empty()) {
    return std::nullopt;
  }
  auto credit = std::move(item.credits.front());
  item.credits.pop_front();
  return credit;
}

auto quota_credits::Return(const organisation_id& organisation,
                           const quota_credit& credit,
                           instant now) -> void {
  auto& item = accounts_[organisation];
  item.credits.push_back(credit);
  std::sort(item.credits.begin(), item.credits.end(),
            [](const quota_credit& a, const quota_credit& b) {
              return a.expires_at < b.expires_at;
            });
  DropLapsed(item, now);
}

auto quota_credits::SetWaiting(const organisation_id& organisation,
                               std::uint32_t waiting) -> void {
  accounts_[organisation].waiting = waiting;
}

auto quota_credits::StateOf(const organisation_id& organisation,
                            instant now) const -> quota_state {
  const auto found = accounts_.find(organisation);
  if (found == accounts_.end()) {
    return quota_state::kUnknown;
  }
  const auto& item = found->second;
  const auto has_credit = std::any_of(
      item.credits.begin(), item.credits.end(),
      [&](const quota_credit& credit) { return credit.expires_at > now; });
  if (has_credit) {
    return quota_state::kGranted;
  }
  if (!item.asked.empty() || NextMember(item, now)) {
    return quota_state::kPending;
  }
  const auto is_empty =
      !members_.empty() &&
      std::all_of(members_.begin(), members_.end(), [&](const auto& member) {
        return IsEmpty(item, member, now);
      });
  return is_empty ? quota_state::kExceeded : quota_state::kUnknown;
}

auto quota_credits::HaveAllFailed(instant now) const -> bool {
  return std::all_of(
      members_.begin(), members_.end(),
      [&](const std::string& member) { return HasFailed(member, now); });
}

auto quota_credits::HasEmptyMember(const organisation_id& organisation,
                                   instant now) const -> bool {
  const auto found = accounts_.find(organisation);
  return found != accounts_.end() &&
         std::any_of(members_.begin(), members_.end(),
                     [&](const std::string& member) {
                       return IsEmpty(found->second, member, now);
                     });
}

auto quota_credits::RetryAfter(const organisation_id& organisation,
                               instant now) const -> duration {
  const auto found = accounts_.find(organisation);
  auto earliest = std::optional<instant>{};
  if (found != accounts_.end()) {
    for (const auto& member : members_) {
      const auto share = found->second.shares.find(member);
      const auto free_at =
          share == found->second.shares.end() ? now : share->second.empty_until;
      earliest = std::min(earliest.value_or(free_at), free_at);
    }
  }
  return std::max(earliest.value_or(now) - now, duration(0));
}

auto quota_credits::MakeRequest(const std::string& member, instant now)
    -> std::optional<quota_request> {
  auto request = quota_request{};
  for (auto& [organisation, item] : accounts_) {
    if (request.demands.size() == options_.max_demands) {
      break;
    }
    auto& share = item.shares[member];
    auto demand = quota_demand{organisation, item.limit, 0, 0};
    if (item.waiting > 0 && item.asked.empty() &&
        NextMember(item, now) == member) {
      demand.wanted = Wanted(item, now);
    }
    const auto is_return_due =
        share.returned > 0 &&
        now - share.returned_since >= options_.return_delay;
    if (demand.wanted == 0 && !is_return_due) {
      continue;
    }
    demand.returned = std::exchange(share.returned, 0);
    if (demand.wanted > 0) {
      item.asked = member;
    }
    request.demands.push_back(std::move(demand));
  }
  return request.demands.empty() ? std::nullopt
                                 : std::optional(std::move(request));
}

auto quota_credits::ProcessReply(const std::string& member,
                                 const quota_request& request,
                                 const quota_reply& reply,
                                 instant sent_at,
                                 instant now) -> void {
  StopAsking(member, request);
  failed_until_.erase(member);
  const auto count = std::min(request.demands.size(), reply.grants.size());
  for (auto i = std::size_t{0}; i < count; ++i) {
    const auto& demand = request.demands[i];
    const auto& grant = reply.grants[i];
    if (demand.wanted == 0 || grant.organisation != demand.organisation) {
      continue;
    }
    auto& item = accounts_[grant.organisation];
    const auto granted = std::min(grant.granted, demand.wanted);
    for (auto j = std::uint32_t{0}; j < granted; ++j) {
      item.credits.push_back({member, sent_at + options_.credit_lifetime});
    }
    if (granted < demand.wanted) {
      item.shares[member].empty_until =
          now + std::max(grant.retry_after, options_.min_empty_time);
    }
    DropLapsed(item, now);
  }
}

auto quota_credits::OnSlow(const std::string& member,
                           const quota_request& request) -> void {
  StopAsking(member, request);
  failed_until_[member] = instant::max();
}

auto quota_credits::OnFailure(const std::string& member,
                              const quota_request& request,
                              instant now) -> void {
  StopAsking(member, request);
  failed_until_[member] = now + options_.failure_memory;
}

auto quota_credits::OnRejected(const std::string& member,
                               const quota_request& request) -> void {
  StopAsking(member, request);
  failed_until_.erase(member);
}

auto quota_credits::Tick(instant now) -> void {
  for (auto& [organisation, item] : accounts_) {
    DropLapsed(item, now);
  }
  // Long enough for every share to be full again.
  constexpr auto kIdleLifetime = duration(60s);
  std::erase_if(accounts_, [&](const auto& entry) {
    const auto& item = entry.second;
    return item.waiting == 0 && item.credits.empty() &&
           now - item.arrived_at > kIdleLifetime;
  });
}

auto quota_credits::DropLapsed(account& item, instant now) -> void {
  while (!item.credits.empty() && item.credits.front().expires_at <= now) {
    auto& share = item.shares[item.credits.front().member];
    if (share.returned++ == 0) {
      share.returned_since = now;
    }
    item.credits.pop_front();
  }
}

auto quota_credits::IsEmpty(const account& item,
                            const std::string& member,
                            instant now) const -> bool {
  const auto share = item.shares.find(member);
  return share != item.shares.end() && share->second.empty_until > now;
}

auto quota_credits::HasFailed(const std::string& member, instant now) const
    -> bool {
  const auto found = failed_until_.find(member);
  return found != failed_until_.end() && found->second > now;
}

auto quota_credits::NextMember(const account& item, instant now) const
    -> std::optional<std::string> {
  for (const auto& member : members_) {
    if (!HasFailed(member, now) && !IsEmpty(item, member, now)) {
      return member;
    }
  }
  return std::nullopt;
}

auto quota_credits::Wanted(const account& item, instant now) const
    -> std::uint32_t {
  const auto window = Seconds(options_.rate_window);
  const auto rate =
      item.rate * std::exp(-Seconds(now - item.arrived_at) / window);
  return item.waiting +
         static_cast<std::uint32_t>(rate * Seconds(options_.forecast));
}

auto quota_credits::StopAsking(const std::string& member,
                               const quota_request& request) -> void {
  for (const auto& demand : request.demands) {
    const auto found = accounts_.find(demand.organisation);
    if (found != accounts_.end() && found->second.asked == member) {
      found->second.asked.clear();
    }
  }
}

}  // namespace daisywind::history
