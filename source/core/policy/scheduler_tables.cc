#include "policy/scheduler_tables.h"

#include <algorithm>

#include "policy/admission.h"
#include "policy/queue_discipline.h"

namespace daisywind::policy {
namespace {

constexpr auto kBitsPerByte = 8.0;
constexpr auto kMaxScannedPerOrganisation = std::size_t{32};
constexpr auto kScanInterval = 5ms;
constexpr auto kMaxQueueTime = 120s;
constexpr auto kMaintenanceInterval = 500ms;
constexpr auto kQuarantineRetryAfter = duration{60s};
constexpr auto kExpiredRetryAfter = duration{5s};

auto LinkShare(const scheduler_options& options) -> double {
  return options.link_bits_per_second / kBitsPerByte /
         std::max(1U, options.gateways);
}

// Duration of a call relative to its estimated duration at an unloaded
// endpoint.
auto SlowdownOf(const cost_model& costs, const call_timing& timing) -> double {
  constexpr auto kMinUnloaded = seconds{0.02};
  const auto has_tokens = timing.usage.prompt_tokens > 0;
  const auto unloaded =
      has_tokens ? costs.UnloadedTime(timing.usage) : costs.MeanServiceTime();
  return timing.total / std::max(kMinUnloaded, unloaded);
}

auto UpdateEstimates(scheduler_tables& tables,
                     const sent_call& sent,
                     finish_kind result,
                     const token_usage& usage,
                     instant now) -> void {
  auto& entry = tables.endpoints.At(sent.endpoint);
  if (result == finish_kind::kCancelled) {
    return;
  }
  if (result != finish_kind::kCompleted) {
    entry.health.OnFailure();
    return;
  }
  auto& target = tables.targets.Find(TargetOf(sent.request), tables.endpoints);
  const auto first = sent.first_token_at.value_or(now);
  const auto timing =
      call_timing{first - sent.sent_at, now - sent.sent_at, usage};
  target.costs.AddSample(timing);
  target.queue.Charge(sent.request.organisation, timing.total,
                      tables.organisations.ShareOf(sent.request.organisation));
  entry.health.OnSuccess(SlowdownOf(target.costs, timing));
  tables.cache.Store(sent.endpoint, sent.request.prefix, now);
  tables.crashes.OnCompleted(sent.request.body);
}

auto Dispatch(scheduler_tables& tables,
              const waiting_call& call,
              endpoint_index index,
              instant now) -> dispatch {
  auto& entry = tables.endpoints.At(index);
  const auto& request = call.request;
  const auto is_suspect = tables.crashes.IsSuspect(request.body);
  tables.endpoints.ChangeLoad(index, 1, now);
  entry.suspect_calls += is_suspect ? 1U : 0U;
  if (!entry.is_local) {
    tables.link.Charge(request.body_bytes, now);
  }
  tables.sent.emplace(request.call, sent_call{request, index, now, std::nullopt,
                                              now, is_suspect, false});
  ++tables.dispatched;
  const auto priority =
      EnginePriority(tables.options.queueing, request, call.rank);
  return {request.call, entry.info.id, priority};
}

auto Route(scheduler_tables& tables,
           const target_entry& target,
           const waiting_call& waiting,
           instant now) -> std::optional<endpoint_index> {
  const auto& call = waiting.request;
  const auto context =
      route_context{call,
                    target.members,
                    tables.endpoints,
                    tables.cache,
                    target.costs,
                    tables.link,
                    tables.random,
                    now,
                    now - waiting.arrived,
                    tables.options.admission == admission_kind::kAdaptive,
                    tables.crashes.IsSuspect(call.body)};
  ++tables.routed;
  return tables.routing->Choose(context);
}

// Dispatches the calls for which routing finds an endpoint. Returns whether
// there were any.
auto DispatchCalls(scheduler_tables& tables,
                   target_entry& target,
                   const std::vector<const waiting_call*>& calls,
                   instant now,
                   decisions& out) -> bool {
  auto has_sent = false;
  for (const auto* call : calls) {
    const auto index = Route(tables, target, *call, now);
    if (!index) {
      continue;
    }
    out.dispatches.push_back(Dispatch(tables, *call, *index, now));
    target.queue.Remove(out.dispatches.back().call);
    has_sent = true;
  }
  return has_sent;
}

// Considers the calls added since the last time and, once per scan interval,
// all waiting calls.
auto DispatchTarget(scheduler_tables& tables,
                    target_entry& target,
                    instant now,
                    decisions& out) -> void {
  const auto new_calls = target.queue.TakeNew();
  if (now - target.last_scan < kScanInterval) {
    DispatchCalls(tables, target, new_calls, now, out);
    return;
  }
  target.last_scan = now;
  while (DispatchCalls(tables, target,
                       target.queue.Next(kMaxScannedPerOrganisation), now,
                       out)) {
  }
}

}  // namespace

scheduler_tables::scheduler_tables(const scheduler_options& scheduler_options,
                                   std::uint64_t seed)
    : options(scheduler_options),
      random(seed),
      endpoints(scheduler_options.region),
      targets(scheduler_options.failure_domain, seed),
      organisations(std::max(1U, scheduler_options.gateways)),
      link(LinkShare(scheduler_options), scheduler_options.link_delay),
      routing(MakeRouting(scheduler_options.routing)) {}

auto scheduler_tables::FindSent(call_ref call) -> sent_call* {
  const auto found = sent.find(call);
  return found == sent.end() ? nullptr : &found->second;
}

auto SetGateways(scheduler_tables& tables, std::uint32_t gateways) -> void {
  tables.options.gateways = std::max(1U, gateways);
  tables.organisations.SetGateways(tables.options.gateways);
  tables.link.SetRate(LinkShare(tables.options));
}

auto CheckEnqueue(scheduler_tables& tables,
                  const call_request& request,
                  instant now) -> std::optional<refusal> {
  if (tables.crashes.IsQuarantined(request.body)) {
    return refusal{request.call, refusal_reason::kQuarantined,
                   kQuarantineRetryAfter};
  }
  if (tables.options.admission == admission_kind::kAdaptive) {
    auto& target = tables.targets.Find(TargetOf(request), tables.endpoints);
    auto refused =
        Admit(request, target, tables.endpoints,
              tables.organisations.RankOf(request), tables.options.gateways);
    if (refused) {
      return refused;
    }
  }
  if (const auto wait = tables.organisations.Charge(request, now)) {
    return refusal{request.call, refusal_reason::kRateLimited, *wait};
  }
  return std::nullopt;
}

auto AddToQueue(scheduler_tables& tables,
                const call_request& request,
                instant now) -> void {
  auto& target = tables.targets.Find(TargetOf(request), tables.endpoints);
  const auto rank = tables.organisations.RankOf(request);
  target.queue.Add({request, rank, now},
                   VirtualArrival(tables.options.queueing, request, rank, now));
}

auto FinishCall(scheduler_tables& tables,
                call_ref call,
                finish_kind result,
                const token_usage& usage,
                instant now) -> void {
  const auto found = tables.sent.find(call);
  if (found == tables.sent.end()) {
    return;
  }
  const auto sent = std::move(found->second);
  tables.sent.erase(found);
  tables.endpoints.ChangeLoad(sent.endpoint, -1, now);
  auto& entry = tables.endpoints.At(sent.endpoint);
  entry.suspect_calls -= sent.is_suspect ? 1U : 0U;
  UpdateEstimates(tables, sent, result, usage, now);
  if (entry.health.IsOutlier(entry.peer_slowdown) &&
      tables.targets.CanEject(sent.endpoint, tables.endpoints)) {
    entry.health.Eject(now);
  }
}

auto AdvanceHealth(scheduler_tables& tables, instant now) -> void {
  if (now - tables.last_maintenance < kMaintenanceInterval) {
    return;
  }
  tables.last_maintenance = now;
  for (auto index = endpoint_index{0}; index < tables.endpoints.size();
       ++index) {
    tables.endpoints.At(index).health.Advance(now);
  }
  tables.targets.UpdatePeerSlowdowns(tables.endpoints);
}

auto RefuseExpired(scheduler_tables& tables, instant now, decisions& out)
    -> void {
  if (tables.options.admission == admission_kind::kUnlimited ||
      now != tables.last_maintenance) {
    return;
  }
  for (auto& [key, target] : tables.targets.rows()) {
    for (const auto call : target.queue.ArrivedBefore(now - kMaxQueueTime)) {
      target.queue.Remove(call);
      ++tables.refused;
      out.refusals.push_back(
          {call, refusal_reason::kOverloaded, kExpiredRetryAfter});
    }
  }
}

auto DispatchWaiting(scheduler_tables& tables, instant now, decisions& out)
    -> void {
  for (auto& [key, target] : tables.targets.rows()) {
    DispatchTarget(tables, target, now, out);
  }
}

auto FindHung(scheduler_tables& tables, instant now, decisions& out) -> void {
  if (now != tables.last_maintenance) {
    return;
  }
  for (auto& [call, sent] : tables.sent) {
    if (!sent.is_reported_hung &&
        now - sent.last_progress > tables.options.hang_timeout) {
      sent.is_reported_hung = true;
      out.hung.push_back(call);
    }
  }
}

auto Summarise(const scheduler_tables& tables) -> scheduler_summary {
  auto out = scheduler_summary{};
  for (const auto& [key, target] : tables.targets.rows()) {
    out.queued += target.queue.size();
  }
  out.in_flight = tables.sent.size();
  out.quarantined_bodies = tables.crashes.size();
  out.routed = tables.routed;
  out.dispatched = tables.dispatched;
  out.refused = tables.refused;
  out.retried = tables.retried;
  for (auto index = endpoint_index{0}; index < tables.endpoints.size();
       ++index) {
    const auto& entry = tables.endpoints.At(index);
    if (!entry.is_present) {
      continue;
    }
    out.endpoints.push_back(
        {entry.info.id, tables.endpoints.EstimatedLoad(index),
         tables.endpoints.ConcurrencyLimit(index),
         static_cast<std::uint32_t>(entry.own_in_flight),
         entry.health.state() == health_state::kEjected, entry.is_leaving});
  }
  return out;
}

}  // namespace daisywind::policy
