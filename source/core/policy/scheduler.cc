#include "policy/scheduler.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <utility>

namespace daisywind::policy {
namespace {

struct endpoint_entry {
  endpoint_info info;
  load_report report;
  std::uint32_t in_flight = 0;
  bool is_leaving = false;
};

auto Offers(const endpoint_info& info, const call_request& call) -> bool {
  if (info.kind != call.kind || info.role != endpoint_role::kServing) {
    return false;
  }
  if (call.kind == endpoint_kind::kService) {
    return std::ranges::find(info.services, call.target) != info.services.end();
  }
  const auto has_adapter =
      call.adapter.empty() ||
      std::ranges::find(info.adapters, call.adapter) != info.adapters.end();
  return has_adapter && std::ranges::find(info.models, model_id{call.target}) !=
                            info.models.end();
}

}  // namespace

struct scheduler::implementation {
  scheduler_options options;
  std::map<endpoint_id, endpoint_entry> endpoints;
  std::deque<call_request> queue;
  std::map<call_ref, endpoint_id> in_flight;
  std::set<digest> quarantined;
  quarantine_message outbox;

  auto Choose(const call_request& call) -> endpoint_entry* {
    auto* best = static_cast<endpoint_entry*>(nullptr);
    for (auto& [id, entry] : endpoints) {
      const auto excluded =
          std::ranges::find(call.excluded, id) != call.excluded.end();
      if (entry.is_leaving || excluded || !Offers(entry.info, call)) {
        continue;
      }
      if (entry.in_flight >= entry.info.capacity) {
        continue;
      }
      if (best == nullptr || entry.in_flight < best->in_flight) {
        best = &entry;
      }
    }
    return best;
  }
};

scheduler::scheduler(const scheduler_options& options, std::uint64_t /*seed*/)
    : implementation_(std::make_unique<implementation>()) {
  implementation_->options = options;
}

scheduler::~scheduler() = default;
scheduler::scheduler(scheduler&&) noexcept = default;
auto scheduler::operator=(scheduler&&) noexcept -> scheduler& = default;

auto scheduler::SetEndpoints(const std::vector<endpoint_info>& endpoints,
                             instant /*now*/) -> void {
  auto next = std::map<endpoint_id, endpoint_entry>{};
  for (const auto& info : endpoints) {
    auto& entry = next[info.id];
    const auto old = implementation_->endpoints.find(info.id);
    if (old != implementation_->endpoints.end()) {
      entry = old->second;
    }
    entry.info = info;
  }
  implementation_->endpoints = std::move(next);
}

auto scheduler::SetTenants(const std::vector<tenant_policy>& /*tenants*/,
                           const std::vector<target_need>& /*needs*/) -> void {}

auto scheduler::OnLoadReport(const load_report& report, instant /*now*/)
    -> void {
  const auto found = implementation_->endpoints.find(report.endpoint);
  if (found != implementation_->endpoints.end()) {
    found->second.report = report;
  }
}

auto scheduler::OnCacheEvents(const endpoint_id& /*endpoint*/,
                              std::span<const cache_event> /*events*/,
                              instant /*now*/) -> void {}

auto scheduler::OnLeaving(const endpoint_id& endpoint) -> void {
  const auto found = implementation_->endpoints.find(endpoint);
  if (found != implementation_->endpoints.end()) {
    found->second.is_leaving = true;
  }
}

auto scheduler::Enqueue(const call_request& request, instant /*now*/)
    -> std::optional<refusal> {
  if (IsQuarantined(request.body)) {
    return refusal{request.call, refusal_reason::kQuarantined, 60s};
  }
  implementation_->queue.push_back(request);
  return std::nullopt;
}

auto scheduler::Cancel(call_ref call) -> bool {
  return std::erase_if(implementation_->queue, [call](const auto& item) {
           return item.call == call;
         }) > 0;
}

auto scheduler::OnSent(call_ref /*call*/, instant /*now*/) -> void {}
auto scheduler::OnFirstToken(call_ref /*call*/, instant /*now*/) -> void {}
auto scheduler::OnProgress(call_ref /*call*/, instant /*now*/) -> void {}

auto scheduler::OnFinished(call_ref call,
                           finish_kind /*how*/,
                           const token_usage& /*usage*/,
                           instant /*now*/) -> void {
  const auto found = implementation_->in_flight.find(call);
  if (found == implementation_->in_flight.end()) {
    return;
  }
  const auto endpoint = implementation_->endpoints.find(found->second);
  if (endpoint != implementation_->endpoints.end()) {
    --endpoint->second.in_flight;
  }
  implementation_->in_flight.erase(found);
}

auto scheduler::PlanRetry(const call_request& request,
                          finish_kind how,
                          instant /*now*/) -> std::optional<duration> {
  constexpr auto kMaxAttempts = 3U;
  if (request.attempt >= kMaxAttempts ||
      (!request.is_idempotent && how != finish_kind::kNotRun)) {
    return std::nullopt;
  }
  return 100ms;
}

auto scheduler::Tick(instant /*now*/) -> decisions {
  auto out = decisions{};
  auto waiting = std::deque<call_request>{};
  for (auto& call : implementation_->queue) {
    auto* entry = implementation_->Choose(call);
    if (entry == nullptr) {
      waiting.push_back(std::move(call));
      continue;
    }
    ++entry->in_flight;
    implementation_->in_flight[call.call] = entry->info.id;
    out.dispatches.push_back({call.call, entry->info.id, 0});
  }
  implementation_->queue = std::move(waiting);
  return out;
}

auto scheduler::OnEndpointCrash(const endpoint_id& /*endpoint*/,
                                std::span<const digest> /*running_bodies*/,
                                instant /*now*/) -> void {}

auto scheduler::TakeQuarantineMessage() -> quarantine_message {
  return std::exchange(implementation_->outbox, {});
}

auto scheduler::OnQuarantineMessage(const quarantine_message& /*message*/,
                                    instant /*now*/) -> void {}

auto scheduler::WatchedEndpoints() const -> std::vector<endpoint_id> {
  auto out = std::vector<endpoint_id>{};
  for (const auto& [id, entry] : implementation_->endpoints) {
    out.push_back(id);
  }
  return out;
}

auto scheduler::IsQuarantined(const digest& body) const -> bool {
  return implementation_->quarantined.contains(body);
}

auto scheduler::Summary() const -> scheduler_summary {
  auto out = scheduler_summary{};
  out.queued = implementation_->queue.size();
  out.in_flight = implementation_->in_flight.size();
  return out;
}

}  // namespace daisywind::policy
