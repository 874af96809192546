#include "experiment/named_policy.h"

#include <array>

namespace daisywind::experiment {
namespace {

struct named_policy {
  std::string_view name;
  policy::routing_kind routing;
  policy::queueing_kind queueing;
  policy::admission_kind admission;
};

constexpr auto kPolicies = std::array{
    named_policy{"daisywind", policy::routing_kind::kExpectedFinish,
                 policy::queueing_kind::kProgram,
                 policy::admission_kind::kAdaptive},
    named_policy{"round_robin", policy::routing_kind::kRoundRobin,
                 policy::queueing_kind::kFirstComeFirstServed,
                 policy::admission_kind::kUnlimited},
    named_policy{"least_loaded", policy::routing_kind::kLeastLoaded,
                 policy::queueing_kind::kFirstComeFirstServed,
                 policy::admission_kind::kUnlimited},
    named_policy{"pure_affinity", policy::routing_kind::kPureAffinity,
                 policy::queueing_kind::kFirstComeFirstServed,
                 policy::admission_kind::kUnlimited},
    named_policy{"first_come", policy::routing_kind::kLeastLoaded,
                 policy::queueing_kind::kFirstComeFirstServed,
                 policy::admission_kind::kAdaptive},
};

}  // namespace

auto FindPolicy(std::string_view name)
    -> std::optional<policy::scheduler_options> {
  for (const auto& item : kPolicies) {
    if (item.name == name) {
      auto out = policy::scheduler_options{};
      out.routing = item.routing;
      out.queueing = item.queueing;
      out.admission = item.admission;
      return out;
    }
  }
  return std::nullopt;
}

auto PolicyNames() -> std::vector<std::string_view> {
  auto out = std::vector<std::string_view>{};
  for (const auto& item : kPolicies) {
    out.push_back(item.name);
  }
  return out;
}

}  // namespace daisywind::experiment
