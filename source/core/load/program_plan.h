// The calls that a program will make, drawn from a seed.
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

// A chat call whose question is appended to the branch's messages.
enum class step_kind : std::uint8_t {
  kChat,
  // A non-idempotent call to a plain service.
  kService,
  // A tool that takes a while.
  kPause,
  // Sub-agents that run side by side until all have ended.
  kFork,
};

// One step of a branch. Which members count depends on the kind.
struct plan_step {
  step_kind kind = step_kind::kChat;
  // Question of a chat call, or body of a service call.
  std::string text;
  std::int64_t max_tokens = 0;
  bool is_stream = false;
  std::string service;
  std::string path;
  duration pause{};
  // The branches of a fork: this many from the first one on.
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
  // Intended start after the start of the run.
  duration start_at{};
  std::vector<branch_plan> branches;

  auto operator<=>(const program_plan&) const = default;
};

// What a set of plans is drawn from.
struct plan_options {
  std::size_t programs = 0;
  // Programs that start in a second, on average.
  double rate = 1;
  // Divides the pauses of tools.
  double time_scale = 1;
};

// Draws the plans of a run in order of their start. The same seed and options
// give the same plans.
auto DrawPlans(const deployment& where,
               const plan_options& options,
               random_source& random) -> std::vector<program_plan>;

}  // namespace daisywind::load

#endif  // DAISYWIND_LOAD_PROGRAM_PLAN_H_
