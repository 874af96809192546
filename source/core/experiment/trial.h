// Simulation of one policy under one load and seed.
#ifndef DAISYWIND_EXPERIMENT_TRIAL_H_
#define DAISYWIND_EXPERIMENT_TRIAL_H_

#include <compare>
#include <cstdint>
#include <string>

#include "experiment/measures.h"
#include "experiment/specification.h"

namespace daisywind::experiment {

struct trial_choice {
  std::string policy;
  // Arrival rate as a fraction of the deployment's capacity.
  double load = 0.0;
  std::uint64_t seed = 0;

  auto operator<=>(const trial_choice&) const = default;
};

// Runs a trial. The result is deterministic, and trials that differ only in the
// policy see the same programs at the same times. `capacity` is the result of
// CapacityOf, in programs per second. The policy must be one of PolicyNames.
auto RunTrial(const specification& experiment,
              const trial_choice& choice,
              double capacity) -> trial_measures;

}  // namespace daisywind::experiment

#endif  // DAISYWIND_EXPERIMENT_TRIAL_H_
