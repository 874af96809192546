#include "experiment/program_plan.h"

namespace daisywind::experiment {
namespace {

auto Draw(const range& values, random_source& random) -> double {
  return values.low + (values.high - values.low) * random.UniformDouble();
}

auto DrawCount(const range& values, random_source& random) -> std::uint32_t {
  return static_cast<std::uint32_t>(Draw(values, random));
}

auto Milliseconds(double value) -> duration {
  constexpr auto kMicrosecondsPerMillisecond = 1000.0;
  return duration{
      static_cast<duration::rep>(value * kMicrosecondsPerMillisecond)};
}

auto DrawChat(const class_config& config, random_source& random)
    -> program_step {
  auto out = program_step{};
  out.kind = step_kind::kChat;
  out.new_tokens = DrawCount(config.new_tokens, random);
  out.output_tokens = DrawCount(config.output_tokens, random);
  return out;
}

auto DrawTool(const class_config& config, random_source& random)
    -> program_step {
  auto out = program_step{};
  out.kind = step_kind::kTool;
  out.length = Milliseconds(Draw(config.tool_ms, random));
  out.is_idempotent = random.UniformDouble() >= config.non_idempotent_part;
  return out;
}

auto DrawFork(const class_config& config, random_source& random)
    -> program_step {
  auto out = program_step{};
  out.kind = step_kind::kFork;
  for (auto i = 0U; i < config.sub_agents; ++i) {
    out.branches.push_back({DrawChat(config, random), DrawTool(config, random),
                            DrawChat(config, random)});
  }
  return out;
}

auto DrawTurns(const class_config& config, random_source& random)
    -> std::uint32_t {
  const auto stop_probability = 1.0 / config.mean_turns;
  auto turns = std::uint32_t{1};
  while (turns < config.max_turns &&
         random.UniformDouble() >= stop_probability) {
    ++turns;
  }
  return turns;
}

auto AddTurn(const class_config& config,
             random_source& random,
             std::vector<program_step>& steps) -> void {
  if (!steps.empty() && random.UniformDouble() < config.think_part) {
    auto pause = program_step{};
    pause.kind = step_kind::kThink;
    pause.length = Milliseconds(random.Exponential(config.mean_think_ms));
    steps.push_back(pause);
  }
  steps.push_back(DrawChat(config, random));
  if (random.UniformDouble() < config.tool_part) {
    steps.push_back(DrawTool(config, random));
    steps.push_back(DrawChat(config, random));
  }
  if (random.UniformDouble() < config.sub_agent_part) {
    steps.push_back(DrawFork(config, random));
    steps.push_back(DrawChat(config, random));
  }
}

auto DrawClass(const deployment_config& deployment, random_source& random)
    -> std::size_t {
  auto total = 0.0;
  for (const auto& config : deployment.classes) {
    total += config.weight;
  }
  auto left = total * random.UniformDouble();
  for (auto i = std::size_t{0}; i + 1 < deployment.classes.size(); ++i) {
    left -= deployment.classes[i].weight;
    if (left < 0.0) {
      return i;
    }
  }
  return deployment.classes.size() - 1;
}

}  // namespace

auto DrawProgram(const deployment_config& deployment, random_source& random)
    -> program_plan {
  auto out = program_plan{};
  out.class_index = DrawClass(deployment, random);
  const auto& config = deployment.classes[out.class_index];
  out.shared_prompt = random.UniformBelow(config.shared_prompts);
  const auto turns = DrawTurns(config, random);
  for (auto i = 0U; i < turns; ++i) {
    AddTurn(config, random, out.steps);
  }
  return out;
}

}  // namespace daisywind::experiment
