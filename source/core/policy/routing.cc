#include "policy/routing.h"

#include <algorithm>

#include "policy/baseline_routing.h"
#include "policy/expected_finish_routing.h"

namespace daisywind::policy {

auto MakeRouting(routing_kind kind) -> std::unique_ptr<routing_strategy> {
  switch (kind) {
    case routing_kind::kRoundRobin:
      return std::make_unique<round_robin_routing>();
    case routing_kind::kLeastLoaded:
      return std::make_unique<least_loaded_routing>();
    case routing_kind::kPureAffinity:
      return std::make_unique<pure_affinity_routing>();
    case routing_kind::kExpectedFinish:
      break;
  }
  return std::make_unique<expected_finish_routing>();
}

auto IsAllowed(const route_context& context, endpoint_index index) -> bool {
  if (!context.endpoints.IsUsable(index)) {
    return false;
  }
  if (context.avoids_suspects &&
      context.endpoints.At(index).suspect_calls > 0) {
    return false;
  }
  const auto& excluded = context.call.excluded;
  return excluded.empty() ||
         std::ranges::find(excluded, context.endpoints.At(index).info.id) ==
             excluded.end();
}

auto IsEligible(const route_context& context, endpoint_index index) -> bool {
  return IsAllowed(context, index) &&
         (!context.respects_limits || context.endpoints.HasRoom(index));
}

}  // namespace daisywind::policy
