// The calls that a program will make, generated from a random seed.
#ifndef DAISYWIND_LOAD_PROGRAM_PLAN_H_
#define DAISYWIND_LOAD_PROGRAM_PLAN_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "common/random.h"
#include "common/time.h"
#include "load/deployment.h"

namespace daisywind::load {

enum class step_kind : std::uint8_t {
  // A chat call whose user message is appended to the branch's messages.
  kChat,
  // A non-idempotent call to a non-model service.
  kService,
  // The run time of a tool call.
  kPause,
  // Sub-agents that run concurrently; the step ends when all have ended.
  kFork,
};

// One step of a branch. Which members are used depends on the kind.
struct plan_step {
  step_kind kind = step_kind::kChat;
  // User message of a chat call, or body of a service call.
  std::string text;
  std::int64_t max_tokens = 0;
  bool is_stream = false;
  std::string service;
  std::string path;
  duration pause{};
  // The branches of a fork: branch_count indices from first_branch on.
  std::size_t first_branch = 0;
  std::size_t branch_count = 0;

  auto operator<=>(const plan_step&) const = default;
};

// The steps of one branch, in order.
struct branch_plan {
  std::string name;
  std::vector<plan_step> steps;

  auto operator<=>(const branch_plan&) const = default;
};

// One program. The first branch is the main one.
struct program_plan {
  std::size_t index = 0;
  std::string class_name;
  std::string model;
  // Intended start, relative to the start of the run.
  duration start_at{};
  std::vector<branch_plan> branches;

  auto operator<=>(const program_plan&) const = default;
};

// Options for the generation of the plans of a run.
struct plan_options {
  std::size_t programs = 0;
  // Mean number of program starts per second.
  double rate = 1;
  // Divisor of the tool pauses.
  double time_scale = 1;
};

// Generates the plans of a run, sorted by intended start. The starts form a
// Poisson process. The same seed and options give the same plans.
auto GeneratePlans(const deployment& workload,
                   const plan_options& options,
                   random_source& random) -> std::vector<program_plan>;

}  // namespace daisywind::load

#endif  // DAISYWIND_LOAD_PROGRAM_PLAN_H_
