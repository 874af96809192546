// One run of one policy under one load and seed.
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
  // Part of the deployment's capacity that arrives.
  double load = 0.0;
  std::uint64_t seed = 0;

  auto operator<=>(const trial_choice&) const = default;
};

// Runs a trial. The same choice gives the same measures, and trials that differ
// in the policy alone see the same programs at the same times. The policy's
// name must be known.
auto RunTrial(const specification& experiment,
              const trial_choice& choice,
              double capacity) -> trial_measures;

}  // namespace daisywind::experiment

#endif  // DAISYWIND_EXPERIMENT_TRIAL_H_
