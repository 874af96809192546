// Programs as seeded random plans: what each does, decided before it starts and
// unknown to the scheduler.
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

// One step of a branch. Which members count depends on the kind.
struct program_step {
  step_kind kind = step_kind::kChat;
  std::uint32_t new_tokens = 0;
  std::uint32_t output_tokens = 0;
  // Of a tool call or of the caller's pause.
  duration length{0};
  bool is_idempotent = true;
  // Sub-agents of a fork. The next step waits for all of them.
  std::vector<std::vector<program_step>> branches;

  auto operator==(const program_step&) const -> bool = default;
};

struct program_plan {
  std::size_t class_index = 0;
  // Which of the class's shared prompts the program uses.
  std::uint64_t shared_prompt = 0;
  std::vector<program_step> steps;

  auto operator==(const program_plan&) const -> bool = default;
};

// Draws a program of a deployment's workload.
auto DrawProgram(const deployment_shape& deployment, random_source& random)
    -> program_plan;

}  // namespace daisywind::experiment

#endif  // DAISYWIND_EXPERIMENT_PROGRAM_PLAN_H_
