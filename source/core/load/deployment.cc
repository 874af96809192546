#include "load/deployment.h"

#include <algorithm>
#include <array>

namespace daisywind::load {
namespace {

constexpr auto kCartCalls = std::to_array<service_target>({
    {"cart", "/payout"},
    {"cart", "/restock"},
});

constexpr auto kRotaCalls = std::to_array<service_target>({
    {"rota", "/crew-call-in"},
});

constexpr auto kDispatchCalls = std::to_array<service_target>({
    {"dispatch", "/confirmation"},
    {"dispatch", "/crew-notice"},
});

constexpr auto kChocloKinds = std::to_array<program_kind>({
    {.class_name = "vendor",
     .model = "agent",
     .weight = 6,
     .turns = {1, 3},
     .first_message_bytes = {40, 160},
     .message_bytes = {40, 160},
     .max_tokens = {16, 48},
     .service_calls = {0, 1},
     .services = kCartCalls,
     .mean_pause = 200ms},
    {.class_name = "customer",
     .model = "combos",
     .weight = 4,
     .turns = {4, 9},
     .first_message_bytes = {200, 800},
     .message_bytes = {80, 400},
     .max_tokens = {24, 64},
     .sub_agents = {0, 2},
     .sub_agent_turns = {1, 2},
     .service_calls = {1, 2},
     .services = kCartCalls,
     .mean_pause = 600ms},
});

constexpr auto kInziraKinds = std::to_array<program_kind>({
    {.class_name = "planning",
     .model = "planner",
     .weight = 5,
     .turns = {4, 10},
     .first_message_bytes = {4000, 16000},
     .message_bytes = {200, 1200},
     .max_tokens = {32, 64},
     .sub_agents = {0, 3},
     .sub_agent_turns = {1, 3},
     .service_calls = {1, 2},
     .services = kRotaCalls,
     .mean_pause = 800ms},
    {.class_name = "notice",
     .model = "planner",
     .weight = 5,
     .turns = {1, 1},
     .first_message_bytes = {100, 400},
     .message_bytes = {100, 400},
     .max_tokens = {16, 32},
     .service_calls = {1, 3},
     .services = kDispatchCalls,
     .mean_pause = 100ms},
});

constexpr auto kDeployments = std::to_array<deployment>({
    {"choclo", kChocloKinds},
    {"inzira", kInziraKinds},
});

}  // namespace

auto FindDeployment(std::string_view name) -> const deployment* {
  const auto* found =
      std::find_if(kDeployments.begin(), kDeployments.end(),
                   [&](const deployment& item) { return item.name == name; });
  return found == kDeployments.end() ? nullptr : found;
}

}  // namespace daisywind::load
