// The workloads of the deployments.
#ifndef DAISYWIND_LOAD_DEPLOYMENT_H_
#define DAISYWIND_LOAD_DEPLOYMENT_H_

#include <cstdint>
#include <span>
#include <string_view>

#include "common/time.h"

namespace daisywind::load {

// An inclusive range of whole numbers.
struct number_range {
  std::int64_t least = 0;
  std::int64_t most = 0;
};

// A call to a plain service that programs of a kind make.
struct service_target {
  std::string_view service;
  std::string_view path;
};

// One kind of program and the shape of its call chain.
struct program_kind {
  std::string_view class_name;
  // The model or adapter that its chat calls name.
  std::string_view model;
  // Share among the programs of the deployment, in relation to the others.
  std::int64_t weight = 1;
  number_range turns;
  // Sizes of the first question and of the following ones, in bytes.
  number_range first_question_bytes;
  number_range question_bytes;
  number_range max_tokens;
  // Sub-agents that run side by side, each on a branch of its own.
  number_range sub_agents;
  number_range sub_agent_turns;
  number_range service_calls;
  std::span<const service_target> services;
  // Mean pause of a tool between two turns.
  duration mean_pause{};
  // One program in this many streams its answers.
  std::int64_t stream_every = 2;
};

// An organisation's deployment.
struct deployment {
  std::string_view name;
  std::span<const program_kind> kinds;
};

// Finds a deployment, or returns null when there is none of that name.
auto FindDeployment(std::string_view name) -> const deployment*;

}  // namespace daisywind::load

#endif  // DAISYWIND_LOAD_DEPLOYMENT_H_
