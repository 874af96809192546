// Benchmark of the latency of scheduling decisions.
#ifndef DAISYWIND_EXPERIMENT_BENCHMARK_H_
#define DAISYWIND_EXPERIMENT_BENCHMARK_H_

#include <compare>
#include <cstddef>

namespace daisywind::experiment {

// Times in microseconds, per decision and per step. A step enqueues one call
// and runs the scheduler once, which decides on this call and, at intervals, on
// all waiting calls.
struct decision_times {
  std::size_t steps = 0;
  std::size_t decisions = 0;
  double mean_per_decision = 0.0;
  double mean_per_step = 0.0;
  double p50_per_step = 0.0;
  double p99_per_step = 0.0;

  auto operator<=>(const decision_times&) const = default;
};

// Measures `steps` steps of a scheduler with the policy "daisywind" and with
// prompts of 64 blocks. 90 % of the call slots of the endpoints known to the
// scheduler are occupied, and the endpoints hold cached prefixes.
auto MeasureDecisions(std::size_t endpoints, std::size_t steps)
    -> decision_times;

}  // namespace daisywind::experiment

#endif  // DAISYWIND_EXPERIMENT_BENCHMARK_H_
