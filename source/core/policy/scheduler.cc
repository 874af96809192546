#include "policy/scheduler.h"

#include <algorithm>
#include <utility>

#include "policy/scheduler_tables.h"

namespace daisywind::policy {

struct scheduler::implementation {
  implementation(const scheduler_options& options, std::uint64_t seed)
      : tables(options, seed) {}

  scheduler_tables tables;
};

scheduler::scheduler(const scheduler_options& options, std::uint64_t seed)
    : implementation_(std::make_unique<implementation>(options, seed)) {}

scheduler::~scheduler() = default;
scheduler::scheduler(scheduler&&) noexcept = default;
auto scheduler::operator=(scheduler&&) noexcept -> scheduler& = default;

auto scheduler::SetEndpoints(const std::vector<endpoint_info>& endpoints,
                             instant /*now*/) -> void {
  auto& tables = implementation_->tables;
  tables.endpoints.Set(endpoints);
  tables.targets.Rebuild(tables.endpoints);
}

auto scheduler::SetOrganisations(
    const std::vector<organisation_policy>& organisations,
    const std::vector<target_need>& needs) -> void {
  implementation_->tables.organisations.Set(organisations);
  implementation_->tables.targets.SetNeeds(needs);
}

auto scheduler::SetGateways(std::uint32_t gateways) -> void {
  policy::SetGateways(implementation_->tables, gateways);
}

auto scheduler::OnLoadReport(const load_report& report, instant /*now*/)
    -> void {
  implementation_->tables.endpoints.ApplyReport(report);
}

auto scheduler::OnCacheEvents(const endpoint_id& endpoint,
                              std::span<const cache_event> events,
                              instant now) -> void {
  auto& tables = implementation_->tables;
  if (const auto index = tables.endpoints.Find(endpoint)) {
    tables.cache.Apply(*index, events, now);
  }
}

auto scheduler::OnLeaving(const endpoint_id& endpoint) -> void {
  implementation_->tables.endpoints.SetLeaving(endpoint);
}

auto scheduler::Enqueue(const call_request& request, instant now)
    -> std::optional<refusal> {
  auto& tables = implementation_->tables;
  tables.crashes.Advance(now);
  auto refused = CheckEnqueue(tables, request, now);
  if (refused) {
    ++tables.refused;
    return refused;
  }
  if (request.attempt == 1) {
    tables.retries.OnFirstAttempt(request.organisation);
  }
  AddToQueue(tables, request, now);
  return std::nullopt;
}

auto scheduler::Cancel(call_ref call) -> bool {
  return std::ranges::any_of(
      implementation_->tables.targets.rows(),
      [call](auto& row) { return row.second.queue.Remove(call).has_value(); });
}

auto scheduler::OnSent(call_ref call, instant now) -> void {
  if (auto* sent = implementation_->tables.FindSent(call)) {
    sent->sent_at = now;
    sent->last_progress = now;
  }
}

auto scheduler::OnFirstToken(call_ref call, instant now) -> void {
  if (auto* sent = implementation_->tables.FindSent(call)) {
    sent->first_token_at = now;
    sent->last_progress = now;
  }
}

auto scheduler::OnProgress(call_ref call, instant now) -> void {
  if (auto* sent = implementation_->tables.FindSent(call)) {
    sent->last_progress = now;
  }
}

auto scheduler::OnFinished(call_ref call,
                           finish_kind result,
                           const token_usage& usage,
                           instant now) -> void {
  FinishCall(implementation_->tables, call, result, usage, now);
}

auto scheduler::PlanRetry(const call_request& request,
                          finish_kind result,
                          instant /*now*/) -> std::optional<duration> {
  auto& tables = implementation_->tables;
  const auto delay = tables.retries.Plan(request, result, tables.random);
  if (delay) {
    ++tables.retried;
  }
  return delay;
}

auto scheduler::Tick(instant now) -> decisions {
  auto& tables = implementation_->tables;
  auto out = decisions{};
  AdvanceHealth(tables, now);
  RefuseExpired(tables, now, out);
  DispatchWaiting(tables, now, out);
  FindHung(tables, now, out);
  tables.cache.Prune(now);
  return out;
}

auto scheduler::OnEndpointCrash(const endpoint_id& endpoint,
                                std::span<const digest> running_bodies,
                                instant now) -> void {
  auto& tables = implementation_->tables;
  const auto index = tables.endpoints.Find(endpoint);
  if (!index) {
    return;
  }
  tables.cache.Clear(*index);
  const auto& domain = tables.endpoints.At(*index).info.failure_domain;
  tables.crashes.OnCrash(endpoint, domain, running_bodies, now);
}

auto scheduler::TakeQuarantineMessage() -> quarantine_message {
  return implementation_->tables.crashes.TakeMessage();
}

auto scheduler::OnQuarantineMessage(const quarantine_message& message,
                                    instant now) -> void {
  implementation_->tables.crashes.Merge(message, now);
}

auto scheduler::WatchedEndpoints() const -> std::vector<endpoint_id> {
  const auto& tables = implementation_->tables;
  auto watched = std::vector<bool>(tables.endpoints.size());
  for (const auto& [key, target] : tables.targets.rows()) {
    for (const auto index : target.members) {
      watched[index] = true;
    }
  }
  auto out = std::vector<endpoint_id>{};
  for (auto index = std::size_t{0}; index < watched.size(); ++index) {
    if (watched[index]) {
      out.push_back(
          tables.endpoints.At(static_cast<endpoint_index>(index)).info.id);
    }
  }
  return out;
}

auto scheduler::IsQuarantined(const digest& body) const -> bool {
  return implementation_->tables.crashes.IsQuarantined(body);
}

auto scheduler::Summary() const -> scheduler_summary {
  return Summarise(implementation_->tables);
}

}  // namespace daisywind::policy
