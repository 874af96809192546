#include "load/program_plan.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

namespace daisywind::load {
namespace {

auto Generate(std::string_view name, std::uint64_t seed) {
  auto random = random_source(seed);
  const auto options = plan_options{200, 10, 1};
  return GeneratePlans(*FindDeployment(name), options, random);
}

auto HasStep(const program_plan& plan, step_kind kind) -> bool {
  const auto& steps = plan.branches.front().steps;
  return std::any_of(steps.begin(), steps.end(),
                     [&](const auto& step) { return step.kind == kind; });
}

}  // namespace

TEST_CASE("the same seed gives the same programs") {
  CHECK(Generate("choclo", 1) == Generate("choclo", 1));
  CHECK(Generate("choclo", 1) != Generate("choclo", 2));
  CHECK(FindDeployment("nobody") == nullptr);
}

TEST_CASE("programs have chat calls, pauses, service calls and sub-agents") {
  for (const auto* name : {"choclo", "inzira"}) {
    const auto plans = Generate(name, 7);
    auto classes = std::set<std::string>{};
    for (const auto& plan : plans) {
      classes.insert(plan.class_name);
      CHECK(plan.branches.front().steps.front().kind == step_kind::kChat);
    }
    CHECK(classes.size() == 2);
    for (const auto kind :
         {step_kind::kPause, step_kind::kService, step_kind::kFork}) {
      CHECK(std::any_of(plans.begin(), plans.end(),
                        [&](const auto& plan) { return HasStep(plan, kind); }));
    }
  }
}

TEST_CASE("plans are sorted by start and fork each branch once") {
  auto last = duration{};
  for (const auto& plan : Generate("inzira", 3)) {
    CHECK(plan.start_at >= last);
    last = plan.start_at;
    auto forked = std::size_t{1};
    for (const auto& step : plan.branches.front().steps) {
      forked += step.branch_count;
    }
    CHECK(forked == plan.branches.size());
  }
}

}  // namespace daisywind::load
