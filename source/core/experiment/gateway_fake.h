// Simulated gateway: a real scheduler with its live calls and the messages
// exchanged with the endpoints.
#ifndef DAISYWIND_EXPERIMENT_GATEWAY_FAKE_H_
#define DAISYWIND_EXPERIMENT_GATEWAY_FAKE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "experiment/fleet.h"
#include "policy/scheduler.h"

namespace daisywind::experiment {

enum class call_outcome_kind : std::uint8_t { kDone, kRefused, kFailed };

// Outcome of a call as reported to its caller.
struct call_outcome {
  call_outcome_kind kind = call_outcome_kind::kDone;
  duration retry_after{0};
  // From the dispatch to the arrival of the result at the gateway.
  duration service{0};
};

// A call with the request that its endpoint receives.
struct gateway_call {
  policy::call_request request;
  endpoint_request backend_request;
  // Identifies the request across all its attempts.
  std::uint64_t key = 0;
  std::function<void(const call_outcome&)> on_done;
};

class gateway_fake {
 public:
  gateway_fake(event_queue& events,
               fleet& endpoints,
               const policy::scheduler_options& options,
               std::uint64_t seed,
               trial_measures& measures);

  // Submits a call. Its `on_done` is invoked exactly once.
  auto Submit(gateway_call call) -> void;

  // Runs one scheduling round and applies its decisions.
  auto RunScheduler() -> void;

  // Simulates a retry storm: cancels and resubmits every call that is waiting
  // or idempotent, as if all callers timed out at once.
  auto ResendAll() -> void;

  // Reports an endpoint crash to the scheduler, with the body digests of the
  // calls of this gateway that were running there.
  auto OnCrash(const endpoint_id& endpoint) -> void;

  auto request_scheduler() -> policy::scheduler& { return scheduler_; }
  [[nodiscard]] auto region() const -> const region_id& { return region_; }

 private:
  struct live_call {
    gateway_call call;
    std::optional<endpoint_id> endpoint;
    instant sent_at;
  };

  auto Send(const policy::dispatch& dispatched) -> void;
  auto Deliver(policy::call_ref ref, std::int32_t priority) -> void;
  auto OnEndpointFinished(policy::call_ref ref, const endpoint_result& result)
      -> void;
  auto HandleResult(policy::call_ref ref, const endpoint_result& result)
      -> void;
  auto Retry(live_call&& live, policy::finish_kind finish) -> void;
  auto Refuse(policy::call_ref ref, const policy::refusal& refused) -> void;
  auto TimeOutCall(policy::call_ref ref) -> void;
  auto Resend(policy::call_ref ref) -> void;
  auto RemoveCall(policy::call_ref ref) -> std::optional<live_call>;

  event_queue& events_;
  fleet& fleet_;
  region_id region_;
  policy::scheduler scheduler_;
  trial_measures& measures_;
  // Unique across all gateways: the upper bits come from the seed.
  policy::call_ref next_ref_;
  std::map<policy::call_ref, live_call> live_;
  bool is_scheduling_ = false;
};

}  // namespace daisywind::experiment

#endif  // DAISYWIND_EXPERIMENT_GATEWAY_FAKE_H_
