// The policies that experiments compare, by name.
#ifndef DAISYWIND_EXPERIMENT_NAMED_POLICY_H_
#define DAISYWIND_EXPERIMENT_NAMED_POLICY_H_

#include <optional>
#include <string_view>
#include <vector>

#include "policy/options.h"

namespace daisywind::experiment {

// The options of a policy, or nothing when the name is unknown.
auto FindPolicy(std::string_view name)
    -> std::optional<policy::scheduler_options>;

// All names.
auto PolicyNames() -> std::vector<std::string_view>;

}  // namespace daisywind::experiment

#endif  // DAISYWIND_EXPERIMENT_NAMED_POLICY_H_
