#include "dispatch/engine_memory.h"

#include <algorithm>

namespace daisywind::dispatch {
namespace {

// The rest is for errors of the estimate: other VMs send requests between the
// reports.
constexpr auto kUsableShare = 0.9;

}  // namespace

auto RequestTokens(const call& request) -> std::uint64_t {
  const auto output = std::min(
      request.max_output_tokens,
      request.expected_output_tokens.value_or(request.max_output_tokens));
  return std::uint64_t{request.prompt_tokens} + output;
}

auto ExpectedTokens(const endpoint_table& endpoints,
                    const endpoint_state& state,
                    std::uint64_t request_tokens,
                    double mean_others_in_flight,
                    instant now) -> double {
  const auto load = endpoints.ExpectedLoad(state, mean_others_in_flight, now);
  const auto others = std::max(0.0, load - double(state.in_flight));
  const auto mean = endpoints.MeanRequestTokens(state.entry.service)
                        .value_or(double(request_tokens));
  return double(state.tokens_in_flight) + others * mean;
}

auto ExceedsMemory(std::uint64_t request_tokens, std::uint64_t memory_tokens)
    -> bool {
  return memory_tokens != 0 && request_tokens > memory_tokens;
}

auto HasMemory(const endpoint_table& endpoints,
               const endpoint_state& state,
               const placement_request& request,
               double mean_others_in_flight,
               instant now) -> bool {
  if (request.memory_tokens == 0) {
    return true;
  }
  const auto held = ExpectedTokens(endpoints, state, request.tokens,
                                   mean_others_in_flight, now);
  // Alone at an engine, a request may be as large as the memory.
  const auto is_idle = held < 1.0;
  const auto limit =
      double(request.memory_tokens) * (is_idle ? 1.0 : kUsableShare);
  return held + double(request.tokens) <= limit;
}

auto FindMemoryShortage(const endpoint_table& endpoints,
                        const placement_request& request,
                        instant now) -> std::optional<memory_shortage> {
  const auto mean_others_in_flight =
      endpoints.MeanOthersInFlight(request.service, now);
  auto shortage = std::optional<memory_shortage>{};
  for (const auto* state : endpoints.OfService(request.service)) {
    if (state->IsLeaving() || !endpoints.HasQuota(*state, now) ||
        HasMemory(endpoints, *state, request, mean_others_in_flight, now)) {
      continue;
    }
    const auto tokens = ExpectedTokens(endpoints, *state, request.tokens,
                                       mean_others_in_flight, now);
    if (!shortage) {
      shortage = memory_shortage{0, tokens};
    }
    ++shortage->engines;
    shortage->least_tokens = std::min(shortage->least_tokens, tokens);
  }
  return shortage;
}

}  // namespace daisywind::dispatch
