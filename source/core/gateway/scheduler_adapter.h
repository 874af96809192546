// Connects the program system to the scheduler.
#ifndef DAISYWIND_GATEWAY_SCHEDULER_ADAPTER_H_
#define DAISYWIND_GATEWAY_SCHEDULER_ADAPTER_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "common/time.h"
#include "gateway/attempt_runner.h"
#include "policy/scheduler.h"
#include "program/commands.h"
#include "program/events.h"

namespace daisywind::gateway {

// Queues calls in the scheduler on acquire_endpoint, and submits
// endpoint_granted or endpoint_refused with its decision.
class scheduler_adapter {
 public:
  scheduler_adapter(policy::scheduler& scheduler,
                    std::function<void(program::event)> submit);

  // Queues a call. A retry is delayed by its backoff, or refused when the retry
  // budget is spent.
  auto Acquire(const program::acquire_endpoint& wanted, instant now) -> void;

  // Removes a call that no longer needs an endpoint.
  auto Abandon(const program::call_ref& call, instant now) -> void;

  // Ends the attempt of a call and frees its slot.
  auto Release(const program::release_endpoint_slot& slot, instant now) -> void;

  // Report the progress of a call that has been granted an endpoint.
  auto OnSent(const program::call_ref& call, instant now) -> void;
  auto OnOutput(const program::call_ref& call, instant now) -> void;
  auto OnUsage(const program::call_ref& call, const token_usage& usage) -> void;
  auto OnHung(const program::call_ref& call) -> void;

  // The priority that the scheduler assigned to a call, or zero when the call
  // is unknown.
  [[nodiscard]] auto PriorityOf(const program::call_ref& call) const
      -> std::int32_t;

  // Digests of the bodies of this VM that are running at an endpoint, or whose
  // attempt there ended without a complete response in the last few seconds.
  [[nodiscard]] auto RunningBodies(const endpoint_id& endpoint) const
      -> std::vector<digest>;

  // Queues due retries, submits the scheduler's decisions and returns the calls
  // that have made no progress within the hang timeout.
  auto Tick(instant now) -> std::vector<program::call_ref>;

 private:
  struct entry {
    policy::call_request request;
    program::call_ref call;
    std::optional<endpoint_id> endpoint;
    std::int32_t priority = 0;
    policy::token_usage usage;
    bool has_output = false;
    bool is_hung = false;
  };
  struct ended_attempt {
    policy::call_request request;
    policy::finish_kind finish = policy::finish_kind::kCompleted;
    instant at;
  };
  struct failed_call {
    endpoint_id endpoint;
    digest body;
    instant at;
  };
  struct delayed_call {
    instant due;
    policy::call_request request;
    program::call_ref call;
  };

  auto FindEntry(const program::call_ref& call) -> entry*;
  auto Enqueue(policy::call_request request,
               const program::call_ref& call,
               instant now) -> void;
  auto EnqueueDelayed(instant now) -> void;
  auto Refuse(const policy::refusal& refused, const program::call_ref& call)
      -> void;
  auto Grant(const policy::dispatch& dispatched) -> void;
  auto ExpireEnded(instant now) -> void;

  policy::scheduler& scheduler_;
  std::function<void(program::event)> submit_;
  policy::call_ref last_ref_ = 0;
  std::map<policy::call_ref, entry> entries_;
  std::map<program::call_ref, policy::call_ref> refs_by_call_;
  // The last attempt of each call that may be retried.
  std::map<program::call_ref, ended_attempt> ended_attempts_;
  std::vector<delayed_call> delayed_;
  // Recent attempts that ended without a complete response.
  std::vector<failed_call> failures_;
};

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_SCHEDULER_ADAPTER_H_
