#include "dispatch/limit_share.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>

#include "common/digest.h"

namespace daisywind::dispatch {
namespace {

// Each VM may send one request at once, however small its part, so a limit of
// about one request a second can't be divided among many.
constexpr auto kMaxShares = std::size_t{4};

// A sender's rank for an endpoint; lower ranks come first.
using sender_rank = std::pair<std::uint64_t, const vm_location*>;

template <class Predicate>
auto RanksOf(const endpoint_place& endpoint,
             const std::vector<vm_location>& senders,
             Predicate is_eligible) -> std::vector<sender_rank> {
  auto ranks = std::vector<sender_rank>{};
  for (const auto& sender : senders) {
    if (is_eligible(sender)) {
      ranks.emplace_back(PlacementHash(sender.vm.value, endpoint.key), &sender);
    }
  }
  std::sort(ranks.begin(), ranks.end(),
            [](const sender_rank& a, const sender_rank& b) {
              return std::pair(a.first, a.second->vm) <
                     std::pair(b.first, b.second->vm);
            });
  return ranks;
}

}  // namespace

auto LimitShare(const endpoint_place& endpoint,
                const std::vector<vm_location>& senders,
                const vm_id& self) -> double {
  auto ranks = RanksOf(endpoint, senders, [&](const vm_location& sender) {
    return sender.failure_domain == endpoint.failure_domain;
  });
  if (ranks.empty()) {
    ranks = RanksOf(endpoint, senders, [&](const vm_location& sender) {
      return sender.region == endpoint.region;
    });
  }
  if (ranks.empty()) {
    ranks = RanksOf(endpoint, senders, [](const vm_location&) { return true; });
  }
  ranks.resize(std::min(ranks.size(), kMaxShares));
  const auto has_share = std::any_of(
      ranks.begin(), ranks.end(),
      [&](const sender_rank& rank) { return rank.second->vm == self; });
  return has_share ? 1.0 / double(ranks.size()) : 0.0;
}

}  // namespace daisywind::dispatch
