// Measures the time of scheduling decisions.
#ifndef DAISYWIND_EXPERIMENT_BENCHMARK_H_
#define DAISYWIND_EXPERIMENT_BENCHMARK_H_

#include <compare>
#include <cstddef>

namespace daisywind::experiment {

// Microseconds. A step enqueues one call and decides on it and, at intervals,
// on all that wait.
struct decision_times {
  std::size_t steps = 0;
  std::size_t decisions = 0;
  double mean_per_decision = 0.0;
  // Of a step.
  double mean = 0.0;
  double p50 = 0.0;
  double p99 = 0.0;

  auto operator<=>(const decision_times&) const = default;
};

// Decides on calls with prompts of 64 blocks over endpoints that are busy and
// hold prefixes.
auto MeasureDecisions(std::size_t endpoints, std::size_t steps)
    -> decision_times;

}  // namespace daisywind::experiment

#endif  // DAISYWIND_EXPERIMENT_BENCHMARK_H_
