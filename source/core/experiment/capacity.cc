#include "experiment/capacity.h"

#include <algorithm>
#include <limits>

namespace daisywind::experiment {
namespace {

// Sample size for the mean demand.
constexpr auto kPlans = 20'000;
constexpr auto kSeed = std::uint64_t{1};
constexpr auto kMillisecondsPerSecond = 1000.0;

auto AddSteps(const std::vector<program_step>& steps,
              const engine_config& engine,
              program_demand& demand) -> void {
  for (const auto& step : steps) {
    if (step.kind == step_kind::kChat) {
      const auto decode = step.output_tokens * engine.decode_ms_per_token /
                          kMillisecondsPerSecond;
      demand.engine_seconds += step.new_tokens / engine.prefill_tokens_per_s;
      demand.engine_seconds += decode / engine.capacity;
    }
    if (step.kind == step_kind::kTool) {
      demand.service_seconds +=
          std::chrono::duration<double>{step.length}.count();
    }
    for (const auto& branch : step.branches) {
      AddSteps(branch, engine, demand);
    }
  }
}

auto UnloadedSteps(const std::vector<program_step>& steps,
                   const deployment_config& deployment) -> duration {
  const auto network = 2 * deployment.client_delay + 2 * deployment.near_delay;
  const auto& engine = deployment.engine;
  auto total_latency = duration{0};
  for (const auto& step : steps) {
    if (step.kind == step_kind::kChat) {
      const auto seconds = std::chrono::duration<double>{
          step.new_tokens / engine.prefill_tokens_per_s +
          step.output_tokens * engine.decode_ms_per_token /
              kMillisecondsPerSecond};
      total_latency += network + std::chrono::duration_cast<duration>(seconds);
    }
    if (step.kind == step_kind::kTool) {
      total_latency += network + step.length;
    }
    auto longest = duration{0};
    for (const auto& branch : step.branches) {
      longest = std::max(longest, UnloadedSteps(branch, deployment));
    }
    total_latency += longest;
  }
  return total_latency;
}

// Programs per second that a resource can sustain.
auto SustainableRate(double available, double needed) -> double {
  return needed > 0.0 ? available / needed
                      : std::numeric_limits<double>::infinity();
}

}  // namespace

auto DemandOf(const program_plan& plan, const engine_config& engine)
    -> program_demand {
  auto demand = program_demand{};
  AddSteps(plan.steps, engine, demand);
  return demand;
}

auto UnloadedLatency(const program_plan& plan,
                     const deployment_config& deployment) -> duration {
  return UnloadedSteps(plan.steps, deployment);
}

auto CapacityOf(const deployment_config& deployment) -> double {
  auto random = random_source{kSeed};
  auto total_demand = program_demand{};
  for (auto i = 0; i < kPlans; ++i) {
    const auto plan_demand =
        DemandOf(DrawProgram(deployment, random), deployment.engine);
    total_demand.engine_seconds += plan_demand.engine_seconds / kPlans;
    total_demand.service_seconds += plan_demand.service_seconds / kPlans;
  }
  auto engines = 0.0;
  auto services = 0.0;
  for (const auto& domain : deployment.domains) {
    engines += domain.engines;
    services += domain.services;
  }
  return std::min(SustainableRate(engines, total_demand.engine_seconds),
                  SustainableRate(services * deployment.service_capacity,
                                  total_demand.service_seconds));
}

}  // namespace daisywind::experiment
