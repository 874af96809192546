#include "dispatch/home_ranking.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "common/digest.h"

namespace daisywind::dispatch {
namespace {

using ranked_endpoint = std::pair<std::uint64_t, const endpoint_state*>;

}  // namespace

auto RankHomes(const std::vector<const endpoint_state*>& endpoints,
               const location& here,
               std::string_view key,
               std::size_t count) -> std::vector<const endpoint_state*> {
  auto near = std::vector<ranked_endpoint>{};
  auto far = std::vector<ranked_endpoint>{};
  for (const auto* state : endpoints) {
    if (state->IsLeaving()) {
      continue;
    }
    const auto hash = PlacementHash(key, state->key);
    const auto is_near =
        DistanceOf(state->entry, here) != distance::kOtherRegion;
    (is_near ? near : far).emplace_back(hash, state);
  }
  auto& ranked = near.empty() ? far : near;
  const auto size = std::min(count, ranked.size());
  std::partial_sort(
      ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(size),
      ranked.end(), [](const ranked_endpoint& a, const ranked_endpoint& b) {
        return std::pair(a.first, a.second->entry.id) <
               std::pair(b.first, b.second->entry.id);
      });
  auto homes = std::vector<const endpoint_state*>{};
  for (auto i = std::size_t{0}; i < size; ++i) {
    homes.push_back(ranked[i].second);
  }
  return homes;
}

}  // namespace daisywind::dispatch
