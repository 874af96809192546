// Random plans of programs. All steps are drawn from a seeded generator before
// the program starts, and the scheduler does not know them.
#ifndef DAISYWIND_EXPERIMENT_PROGRAM_PLAN_H_
#define DAISYWIND_EXPERIMENT_PROGRAM_PLAN_H_

#include <compare>
#include <cstdint>
#include <vector>

#include "common/random.h"
#include "common/time.h"
#include "experiment/specification.h"

namespace daisywind::experiment {

enum class step_kind : std::uint8_t { kChat, kTool, kThink, kFork };

// One step of a program or of a sub-agent. Which members apply depends on the
// kind.
struct program_step {
  step_kind kind = step_kind::kChat;
  std::uint32_t new_tokens = 0;
  std::uint32_t output_tokens = 0;
  // Duration of a tool call or of the caller's pause.
  duration length{0};
  bool is_idempotent = true;
  // Steps of each sub-agent of a fork. The next step waits for all sub-agents.
  std::vector<std::vector<program_step>> branches;

  auto operator==(const program_step&) const -> bool = default;
};

struct program_plan {
  std::size_t class_index = 0;
  // Index of the shared prompt of the class that the program uses.
  std::uint64_t shared_prompt = 0;
  std::vector<program_step> steps;

  auto operator==(const program_plan&) const -> bool = default;
};

// Draws a random program from a deployment's workload.
auto DrawProgram(const deployment_config& deployment, random_source& random)
    -> program_plan;

}  // namespace daisywind::experiment

#endif  // DAISYWIND_EXPERIMENT_PROGRAM_PLAN_H_
