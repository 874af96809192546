// The capacity of a deployment, worked out from its workload and endpoints.
#ifndef DAISYWIND_EXPERIMENT_CAPACITY_H_
#define DAISYWIND_EXPERIMENT_CAPACITY_H_

#include <compare>

#include "experiment/program_plan.h"
#include "experiment/specification.h"

namespace daisywind::experiment {

// What one program needs when each of its tokens is computed once: all shared
// prompts and all earlier messages are found in the cache.
struct program_demand {
  // Decoding a call takes the part of an engine that its slot is.
  double engine_seconds = 0.0;
  double service_seconds = 0.0;

  auto operator<=>(const program_demand&) const = default;
};

// The demand of one plan.
auto DemandOf(const program_plan& plan, const engine_shape& engine)
    -> program_demand;

// The latency of a plan, without the caller's pauses, when nothing waits and
// all shared prompts and earlier messages are cached nearby. No policy can be
// faster.
auto UnloadedLatency(const program_plan& plan,
                     const deployment_shape& deployment) -> duration;

// Programs a second that load 1.0 means:
//   min(engines / E[prefill tokens / prefill rate
//                   + output tokens * decode time / slots],
//       services * slots / E[service seconds])
// with the expectations over the workload's plans.
auto CapacityOf(const deployment_shape& deployment) -> double;

}  // namespace daisywind::experiment

#endif  // DAISYWIND_EXPERIMENT_CAPACITY_H_
