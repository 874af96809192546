#include "experiment/trial.h"

#include <doctest/doctest.h>

#include "experiment/capacity.h"
#include "experiment/named_policy.h"

namespace daisywind::experiment {
namespace {

auto MakeSpecification() -> specification {
  auto out = specification{};
  auto& deployment = out.deployment;
  deployment.organisation = "t";
  deployment.domains = {{"a", "r", 1, 2, 1}, {"b", "s", 1, 2, 1}};
  auto config = class_config{};
  config.name = "chat";
  config.shared_prompt_tokens = 2 * 256;
  config.mean_turns = 3.0;
  config.max_turns = 6;
  config.new_tokens = {50, 200};
  config.output_tokens = {10, 50};
  config.tool_part = 0.5;
  config.tool_ms = {10, 50};
  config.non_idempotent_part = 0.5;
  config.sub_agent_part = 0.2;
  config.sub_agents = 2;
  config.sub_agent_prompt_tokens = 256;
  deployment.classes = {config};
  out.warm_up = 2s;
  out.measured = 20s;
  out.drain = 120s;
  return out;
}

auto Run(const specification& experiment, const std::string& policy)
    -> trial_measures {
  return RunTrial(experiment, {policy, 0.7, 3},
                  CapacityOf(experiment.deployment));
}

}  // namespace

TEST_CASE("a trial is deterministic") {
  const auto experiment = MakeSpecification();
  CHECK(Run(experiment, "daisywind") == Run(experiment, "daisywind"));
}

TEST_CASE("all policies see the same programs") {
  const auto experiment = MakeSpecification();
  const auto expected = Run(experiment, "daisywind");
  for (const auto name : PolicyNames()) {
    const auto measures = Run(experiment, std::string{name});
    REQUIRE(measures.programs.size() == expected.programs.size());
    for (auto i = std::size_t{0}; i < expected.programs.size(); ++i) {
      CHECK(measures.programs[i].arrival == expected.programs[i].arrival);
      CHECK(measures.programs[i].unloaded == expected.programs[i].unloaded);
    }
  }
}

TEST_CASE("no program is faster than its unloaded latency") {
  const auto experiment = MakeSpecification();
  for (const auto& record : Run(experiment, "daisywind").programs) {
    CHECK(record.outcome == program_outcome::kDone);
    CHECK(record.latency >= record.unloaded);
  }
}

TEST_CASE(
    "the loss of a domain causes no double run and no untruthful refusal") {
  auto experiment = MakeSpecification();
  auto loss = fault{};
  loss.kind = fault_kind::kDomainLost;
  loss.domain = "b";
  loss.at = 10s;
  experiment.faults = {loss};
  for (const auto name : PolicyNames()) {
    const auto measures = Run(experiment, std::string{name});
    CHECK(measures.double_runs == 0);
    CHECK(measures.untruthful_refusals == 0);
  }
}

TEST_CASE("capacity counts each token once and scales with the endpoints") {
  auto deployment = MakeSpecification().deployment;
  const auto before = CapacityOf(deployment);
  deployment.classes[0].shared_prompt_tokens *= 100;
  CHECK(CapacityOf(deployment) == before);
  deployment.domains.push_back({"c", "r", 0, 4, 2});
  CHECK(CapacityOf(deployment) == doctest::Approx(2 * before));
}

}  // namespace daisywind::experiment
