// The scheduling policies that experiments compare, by name.
#ifndef DAISYWIND_EXPERIMENT_NAMED_POLICY_H_
#define DAISYWIND_EXPERIMENT_NAMED_POLICY_H_

#include <optional>
#include <string_view>
#include <vector>

#include "policy/options.h"

namespace daisywind::experiment {

// Options of the policy with this name, or nullopt if the name is unknown.
auto FindPolicy(std::string_view name)
    -> std::optional<policy::scheduler_options>;

// Names of all policies.
auto PolicyNames() -> std::vector<std::string_view>;

}  // namespace daisywind::experiment

#endif  // DAISYWIND_EXPERIMENT_NAMED_POLICY_H_
