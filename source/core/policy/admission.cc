#include "policy/admission.h"

#include <algorithm>

namespace daisywind::policy {
namespace {

constexpr auto kMaxNewProgramWait = seconds{1.0};
constexpr auto kMaxNewProgramOccupancy = 1.0;
constexpr auto kMaxQueued = std::size_t{10'000};
constexpr auto kMinRetryAfter = duration{1s};

auto ServingCapacity(const target_entry& target,
                     const endpoint_table& endpoints) -> double {
  auto capacity = 0.0;
  for (const auto index : target.members) {
    if (endpoints.IsUsable(index)) {
      capacity += endpoints.At(index).info.capacity;
    }
  }
  return capacity;
}

// Fraction of the serving capacity that is in use by the calls of all gateways.
auto Occupancy(const target_entry& target, const endpoint_table& endpoints)
    -> double {
  auto load = 0.0;
  for (const auto index : target.members) {
    if (endpoints.IsUsable(index)) {
      load += endpoints.EstimatedLoad(index);
    }
  }
  return load / std::max(1.0, ServingCapacity(target, endpoints));
}

auto HasServingEndpoint(const target_entry& target,
                        const endpoint_table& endpoints) -> bool {
  return std::ranges::any_of(target.members, [&endpoints](auto index) {
    const auto& entry = endpoints.At(index);
    return entry.is_present && !entry.is_leaving &&
           entry.info.role == endpoint_role::kServing;
  });
}

}  // namespace

auto ExpectedWait(const target_entry& target,
                  const endpoint_table& endpoints,
                  std::int32_t rank,
                  std::uint32_t gateways) -> seconds {
  const auto ahead = target.queue.CountUpTo(rank);
  if (ahead == 0) {
    return seconds{0};
  }
  const auto capacity = std::max(1.0, ServingCapacity(target, endpoints));
  return target.costs.MeanServiceTime() *
         (static_cast<double>(ahead) * gateways) / capacity;
}

auto Admit(const call_request& call,
           const target_entry& target,
           const endpoint_table& endpoints,
           std::int32_t rank,
           std::uint32_t gateways) -> std::optional<refusal> {
  if (!HasServingEndpoint(target, endpoints)) {
    return refusal{call.call, refusal_reason::kNoEndpoint, kMinRetryAfter};
  }
  const auto wait = ExpectedWait(target, endpoints, rank, gateways);
  const auto is_full = target.queue.size() >= kMaxQueued;
  const auto max_wait = kMaxNewProgramWait / (1.0 + std::max(0, rank));
  const auto is_overloaded = !call.is_continuation &&
                             (wait > max_wait || Occupancy(target, endpoints) >=
                                                     kMaxNewProgramOccupancy);
  if (is_full || is_overloaded) {
    const auto retry_after = std::max(kMinRetryAfter, ToDuration(wait));
    return refusal{call.call, refusal_reason::kOverloaded, retry_after};
  }
  return std::nullopt;
}

}  // namespace daisywind::policy
