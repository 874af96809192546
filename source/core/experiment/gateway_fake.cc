#include "experiment/gateway_fake.h"

#include <utility>

namespace daisywind::experiment {
namespace {

// A gateway numbers its calls in the lower 40 bits of the call reference. The
// lower 16 bits of its seed follow above, so that references differ between
// gateways.
constexpr auto kRefBitsPerGateway = 40U;
constexpr auto kBytesPerToken = 4.0;

}  // namespace

gateway_fake::gateway_fake(event_queue& events,
                           fleet& endpoints,
                           const policy::scheduler_options& options,
                           std::uint64_t seed,
                           trial_measures& measures)
    : events_(events),
      fleet_(endpoints),
      region_(options.region),
      scheduler_(options, seed),
      measures_(measures),
      next_ref_((seed & 0xFFFFU) << kRefBitsPerGateway) {}

auto gateway_fake::RemoveCall(policy::call_ref ref)
    -> std::optional<live_call> {
  const auto found = live_.find(ref);
  if (found == live_.end()) {
    return std::nullopt;
  }
  auto out = std::optional{std::move(found->second)};
  live_.erase(found);
  return out;
}

auto gateway_fake::Submit(gateway_call call) -> void {
  const auto ref = ++next_ref_;
  call.request.call = ref;
  call.backend_request.id = ref;
  const auto request = call.request;
  live_.emplace(ref, live_call{std::move(call), std::nullopt, {}});
  if (const auto refused = scheduler_.Enqueue(request, events_.now())) {
    Refuse(ref, *refused);
    return;
  }
  RunScheduler();
}

auto gateway_fake::RunScheduler() -> void {
  if (is_scheduling_) {
    return;
  }
  is_scheduling_ = true;
  const auto tick_result = scheduler_.Tick(events_.now());
  for (const auto& dispatched : tick_result.dispatches) {
    Send(dispatched);
  }
  for (const auto& refused : tick_result.refusals) {
    Refuse(refused.call, refused);
  }
  for (const auto ref : tick_result.hung) {
    TimeOutCall(ref);
  }
  is_scheduling_ = false;
}

auto gateway_fake::Send(const policy::dispatch& dispatched) -> void {
  auto& live = live_.at(dispatched.call);
  live.endpoint = dispatched.endpoint;
  live.sent_at = events_.now();
  scheduler_.OnSent(dispatched.call, events_.now());
  const auto& target = fleet_.Find(dispatched.endpoint).info.region;
  const auto arrival =
      fleet_.ArrivalTime(region_, target, live.call.request.body_bytes);
  events_.At(arrival,
             [this, ref = dispatched.call, priority = dispatched.priority] {
               Deliver(ref, priority);
             });
}

auto gateway_fake::Deliver(policy::call_ref ref, std::int32_t priority)
    -> void {
  const auto found = live_.find(ref);
  if (found == live_.end()) {
    return;
  }
  auto backend_request = found->second.call.backend_request;
  backend_request.priority = priority;
  auto& endpoint = fleet_.Find(*found->second.endpoint);
  const auto region = endpoint.info.region;
  const auto is_idempotent = found->second.call.request.is_idempotent;
  auto callbacks = endpoint_callbacks{};
  callbacks.started = [this, key = found->second.call.key, is_idempotent] {
    if (!is_idempotent) {
      fleet_.RecordStart(key);
    }
  };
  callbacks.first_token = [this, ref, region] {
    events_.At(fleet_.ArrivalTime(region, region_, 0.0),
               [this, ref] { scheduler_.OnFirstToken(ref, events_.now()); });
  };
  callbacks.finished = [this, ref, region](const endpoint_result& result) {
    const auto bytes = result.usage.output_tokens * kBytesPerToken;
    events_.At(fleet_.ArrivalTime(region, region_, bytes),
               [this, ref, result] { OnEndpointFinished(ref, result); });
  };
  endpoint.backend->Submit(backend_request, callbacks);
}

auto gateway_fake::OnEndpointFinished(policy::call_ref ref,
                                      const endpoint_result& result) -> void {
  if (!live_.contains(ref)) {
    return;
  }
  scheduler_.OnFinished(ref, result.finish, result.usage, events_.now());
  measures_.prompt_tokens += result.usage.prompt_tokens;
  measures_.wasted_tokens += result.wasted_tokens;
  HandleResult(ref, result);
  RunScheduler();
}

auto gateway_fake::HandleResult(policy::call_ref ref,
                                const endpoint_result& result) -> void {
  auto live = RemoveCall(ref);
  if (result.finish != policy::finish_kind::kCompleted) {
    Retry(std::move(*live), result.finish);
    return;
  }
  ++measures_.calls;
  live->call.on_done(
      {call_outcome_kind::kDone, duration{0}, events_.now() - live->sent_at});
}

auto gateway_fake::Retry(live_call&& live, policy::finish_kind finish) -> void {
  auto call = std::move(live.call);
  const auto delay = scheduler_.PlanRetry(call.request, finish, events_.now());
  if (!delay) {
    const auto is_outcome_unknown =
        !call.request.is_idempotent && finish != policy::finish_kind::kNotRun;
    const auto kind = is_outcome_unknown ? call_outcome_kind::kFailed
                                         : call_outcome_kind::kRefused;
    call.on_done({kind, 1s, duration{0}});
    return;
  }
  ++measures_.retries;
  ++call.request.attempt;
  call.request.excluded.push_back(*live.endpoint);
  events_.After(*delay, [this, call = std::move(call)] { Submit(call); });
}

auto gateway_fake::Refuse(policy::call_ref ref, const policy::refusal& refused)
    -> void {
  auto live = RemoveCall(ref);
  ++measures_.refusals;
  if (!live->call.request.is_idempotent && fleet_.HasStarted(live->call.key)) {
    ++measures_.untruthful_refusals;
  }
  live->call.on_done(
      {call_outcome_kind::kRefused, refused.retry_after, duration{0}});
}

auto gateway_fake::TimeOutCall(policy::call_ref ref) -> void {
  auto live = RemoveCall(ref);
  if (!live) {
    return;
  }
  fleet_.Find(*live->endpoint).backend->Abandon(ref);
  scheduler_.OnFinished(ref, policy::finish_kind::kTimedOut, {}, events_.now());
  Retry(std::move(*live), policy::finish_kind::kTimedOut);
}

auto gateway_fake::Resend(policy::call_ref ref) -> void {
  const auto& found = live_.at(ref);
  if (!found.endpoint) {
    auto call = RemoveCall(ref)->call;
    scheduler_.Cancel(ref);
    Submit(std::move(call));
    return;
  }
  if (!found.call.request.is_idempotent) {
    return;
  }
  auto live = RemoveCall(ref);
  fleet_.Find(*live->endpoint).backend->Abandon(ref);
  scheduler_.OnFinished(ref, policy::finish_kind::kCancelled, {},
                        events_.now());
  Submit(std::move(live->call));
}

auto gateway_fake::ResendAll() -> void {
  auto refs = std::vector<policy::call_ref>{};
  for (const auto& [ref, live] : live_) {
    refs.push_back(ref);
  }
  for (const auto ref : refs) {
    if (live_.contains(ref)) {
      Resend(ref);
    }
  }
}

auto gateway_fake::OnCrash(const endpoint_id& endpoint) -> void {
  auto bodies = std::vector<digest>{};
  for (const auto& [ref, live] : live_) {
    if (live.endpoint == endpoint) {
      bodies.push_back(live.call.request.body);
    }
  }
  scheduler_.OnEndpointCrash(endpoint, bodies, events_.now());
}

}  // namespace daisywind::experiment
