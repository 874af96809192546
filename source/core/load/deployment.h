// The workloads that imitate the organisations' deployments.
#ifndef DAISYWIND_LOAD_DEPLOYMENT_H_
#define DAISYWIND_LOAD_DEPLOYMENT_H_

#include <cstdint>
#include <span>
#include <string_view>

#include "common/time.h"

namespace daisywind::load {

// An inclusive range of integers.
struct number_range {
  std::int64_t min = 0;
  std::int64_t max = 0;
};

// The path of a non-model service that programs of a kind call.
struct service_target {
  std::string_view service;
  std::string_view path;
};

// One kind of program and the distributions that its calls are drawn from.
struct program_kind {
  std::string_view class_name;
  // The model or adapter that its chat calls request.
  std::string_view model;
  // Relative frequency among the programs of the deployment.
  std::int64_t weight = 1;
  number_range turns;
  // Sizes of the first user message and of the later ones, in bytes.
  number_range first_message_bytes;
  number_range message_bytes;
  number_range max_tokens;
  // Sub-agents that run concurrently, each on its own branch.
  number_range sub_agents;
  number_range sub_agent_turns;
  number_range service_calls;
  std::span<const service_target> services;
  // Mean duration of the tool call between two turns.
  duration mean_pause{};
  // On average, one program in this many requests streamed responses.
  std::int64_t stream_every = 2;
};

// The mix of programs of an organisation's deployment.
struct deployment {
  std::string_view name;
  std::span<const program_kind> kinds;
};

// Returns null when there is no deployment of that name.
auto FindDeployment(std::string_view name) -> const deployment*;

}  // namespace daisywind::load

#endif  // DAISYWIND_LOAD_DEPLOYMENT_H_
