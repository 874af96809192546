#include "configuration/rendezvous.h"

#include <algorithm>
#include <set>
#include <string>

#include "common/digest.h"

namespace daisywind::configuration {
namespace {

auto ScoreOf(const member& candidate) -> std::uint64_t {
  const auto name =
      candidate.vm.vm.value + "@" + std::to_string(candidate.vm.run);
  return PlacementHash(name);
}

}  // namespace

auto WatchersOf(const std::vector<member>& members,
                const failure_domain_id& domain) -> std::vector<member> {
  auto watchers = std::vector<member>{};
  for (const auto& candidate : members) {
    if (candidate.domain == domain) {
      watchers.push_back(candidate);
    }
  }
  std::sort(watchers.begin(), watchers.end(),
            [](const member& a, const member& b) {
              const auto score_a = ScoreOf(a);
              const auto score_b = ScoreOf(b);
              return score_a != score_b ? score_a > score_b : a < b;
            });
  if (watchers.size() > kWatchersPerDomain) {
    watchers.resize(kWatchersPerDomain);
  }
  return watchers;
}

auto DomainsOf(const std::vector<member>& members)
    -> std::vector<failure_domain_id> {
  auto domains = std::set<failure_domain_id>{};
  for (const auto& item : members) {
    domains.insert(item.domain);
  }
  return {domains.begin(), domains.end()};
}

}  // namespace daisywind::configuration
