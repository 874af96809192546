// Connects the program system's need for endpoints with the scheduler.
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

// Takes acquire_endpoint and gives endpoint_granted or endpoint_refused.
class scheduler_adapter {
 public:
  scheduler_adapter(policy::scheduler& scheduler,
                    std::function<void(program::event)> submit);

  // Queues a call. A repeated one may be held back by the retry budgets.
  auto Acquire(const program::acquire_endpoint& wanted, instant now) -> void;

  // The call no longer waits.
  auto Abandon(const program::call_ref& call, instant now) -> void;

  // The call's slot is free again.
  auto Release(const program::release_endpoint_slot& slot, instant now) -> void;

  // Progress of a call that has its endpoint.
  auto OnSent(const program::call_ref& call, instant now) -> void;
  auto OnOutput(const program::call_ref& call, instant now) -> void;
  auto OnUsage(const program::call_ref& call, const token_usage& usage) -> void;
  auto OnHung(const program::call_ref& call) -> void;

  // The priority that the scheduler gave a call.
  [[nodiscard]] auto PriorityOf(const program::call_ref& call) const
      -> std::int32_t;

  // Digests of the bodies that run at an endpoint from here, or were cut there
  // a moment ago.
  [[nodiscard]] auto RunningBodies(const endpoint_id& endpoint) const
      -> std::vector<digest>;

  // Lets the scheduler decide. Returns the calls that hang.
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
  struct ended_call {
    policy::call_request request;
    policy::finish_kind how = policy::finish_kind::kCompleted;
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
  auto Refuse(const policy::refusal& why, const program::call_ref& call)
      -> void;
  auto Grant(const policy::dispatch& order) -> void;
  auto ForgetEnded(instant now) -> void;

  policy::scheduler& scheduler_;
  std::function<void(program::event)> submit_;
  policy::call_ref last_ = 0;
  std::map<policy::call_ref, entry> entries_;
  std::map<program::call_ref, policy::call_ref> by_call_;
  // The last attempt of calls that may be tried again.
  std::map<program::call_ref, ended_call> ended_;
  std::vector<delayed_call> delayed_;
  // Calls that were cut a moment ago.
  std::vector<failed_call> failures_;
};

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_SCHEDULER_ADAPTER_H_
