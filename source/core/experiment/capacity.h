// Analytic capacity of a deployment, from its workload and endpoints.
#ifndef DAISYWIND_EXPERIMENT_CAPACITY_H_
#define DAISYWIND_EXPERIMENT_CAPACITY_H_

#include <compare>

#include "experiment/program_plan.h"
#include "experiment/specification.h"

namespace daisywind::experiment {

// Resources that one program needs if each of its tokens is computed once, so
// that all shared prompts and all earlier messages are cache hits.
struct program_demand {
  // An engine decodes as many calls at once as it has slots, so a call counts
  // its decoding time divided by the number of slots.
  double engine_seconds = 0.0;
  double service_seconds = 0.0;

  auto operator<=>(const program_demand&) const = default;
};

auto DemandOf(const program_plan& plan, const engine_config& engine)
    -> program_demand;

// Latency of a plan without the caller's pauses if no call waits and all shared
// prompts and earlier messages are cached in the caller's region. This is a
// lower bound for every policy.
auto UnloadedLatency(const program_plan& plan,
                     const deployment_config& deployment) -> duration;

// Programs per second at load 1.0:
//   min(engines / E[prefill tokens / prefill rate
//                   + output tokens * decode time / slots],
//       services * slots / E[service seconds])
// The expectations are means over a fixed random sample of the workload's
// plans.
auto CapacityOf(const deployment_config& deployment) -> double;

}  // namespace daisywind::experiment

#endif  // DAISYWIND_EXPERIMENT_CAPACITY_H_
