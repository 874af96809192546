#include "policy/baseline_routing.h"

#include <limits>

#include "common/digest.h"

namespace daisywind::policy {

auto round_robin_routing::Choose(const route_context& context)
    -> std::optional<endpoint_index> {
  const auto count = context.candidates.size();
  for (auto step = std::size_t{0}; step < count; ++step) {
    const auto index = context.candidates[(next_ + step) % count];
    if (IsEligible(context, index)) {
      next_ = (next_ + step + 1) % count;
      return index;
    }
  }
  return std::nullopt;
}

auto least_loaded_routing::Choose(const route_context& context)
    -> std::optional<endpoint_index> {
  auto best = std::optional<endpoint_index>{};
  auto best_load = std::numeric_limits<double>::infinity();
  auto ties = std::uint64_t{0};
  for (const auto index : context.candidates) {
    if (!IsEligible(context, index)) {
      continue;
    }
    const auto load = context.endpoints.EstimatedLoad(index) /
                      context.endpoints.At(index).info.capacity;
    ties = load == best_load ? ties + 1 : 1;
    if (load < best_load ||
        (load == best_load && context.random.UniformBelow(ties) == 0)) {
      best = index;
      best_load = load;
    }
  }
  return best;
}

auto pure_affinity_routing::Choose(const route_context& context)
    -> std::optional<endpoint_index> {
  const auto seed = context.call.program.high ^ context.call.program.low;
  auto best = std::optional<endpoint_index>{};
  auto best_weight = std::uint64_t{0};
  for (const auto index : context.candidates) {
    if (!IsEligible(context, index)) {
      continue;
    }
    const auto weight =
        PlacementHash(context.endpoints.At(index).info.id.value, seed);
    if (!best || weight > best_weight) {
      best = index;
      best_weight = weight;
    }
  }
  return best;
}

}  // namespace daisywind::policy
