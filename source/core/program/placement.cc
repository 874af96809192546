#include "program/placement.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

namespace daisywind::program {
namespace {

constexpr std::size_t kCandidatesPerRegion = 4;

auto Contains(const std::vector<vm_ref>& list, const vm_ref& vm) -> bool {
  return std::find(list.begin(), list.end(), vm) != list.end();
}

auto DomainOf(const member_table& table, const vm_ref& vm)
    -> failure_domain_id {
  const auto* found = FindMember(table, vm);
  return found == nullptr ? failure_domain_id{} : found->failure_domain;
}

auto RegionOf(const member_table& table, const vm_ref& vm) -> region_id {
  const auto* found = FindMember(table, vm);
  return found == nullptr ? region_id{} : found->region;
}

// The ranked member with the lowest penalty, the first one among equals. Skips
// leaving and excluded members.
template <class Penalty>
auto ChooseBest(const std::vector<member>& ranked,
                const std::vector<vm_ref>& excluded,
                Penalty penalty) -> vm_ref {
  auto best = vm_ref{};
  auto best_penalty = 0;
  for (const auto& candidate : ranked) {
    if (candidate.is_leaving || Contains(excluded, candidate.vm)) {
      continue;
    }
    const auto value = penalty(candidate);
    if (best.empty() || value < best_penalty) {
      best = candidate.vm;
      best_penalty = value;
    }
  }
  return best;
}

}  // namespace

auto MakeMemberTable(std::vector<member> members) -> member_table {
  std::sort(members.begin(), members.end());
  return member_table{std::move(members)};
}

auto FindMember(const member_table& table, const vm_ref& vm) -> const member* {
  const auto found = std::lower_bound(
      table.members.begin(), table.members.end(), vm,
      [](const member& item, const vm_ref& key) { return item.vm < key; });
  const auto is_found = found != table.members.end() && found->vm == vm;
  return is_found ? &*found : nullptr;
}

auto RankMembers(const program_id& program, const member_table& table)
    -> std::vector<member> {
  const auto seed = program.high ^ program.low;
  auto ranked = std::vector<std::pair<std::uint64_t, member>>{};
  ranked.reserve(table.members.size());
  for (const auto& item : table.members) {
    ranked.emplace_back(PlacementHash(item.vm.vm.value, seed), item);
  }
  std::sort(ranked.begin(), ranked.end());
  auto members = std::vector<member>{};
  members.reserve(ranked.size());
  for (auto& entry : ranked) {
    members.push_back(std::move(entry.second));
  }
  return members;
}

auto ChooseWitness(const program_id& program,
                   const member_table& table,
                   const vm_ref& owner,
                   const std::vector<vm_ref>& excluded) -> vm_ref {
  const auto region = RegionOf(table, owner);
  const auto domain = DomainOf(table, owner);
  return ChooseBest(RankMembers(program, table), excluded,
                    [&](const member& candidate) {
                      return 2 * (candidate.failure_domain == domain ? 1 : 0) +
                             (candidate.region == region ? 0 : 1);
                    });
}

auto ChooseArbiter(const program_id& program,
                   const member_table& table,
                   const vm_ref& owner,
                   const vm_ref& witness,
                   const std::vector<vm_ref>& excluded) -> vm_ref {
  const auto first = DomainOf(table, owner);
  const auto second = DomainOf(table, witness);
  return ChooseBest(RankMembers(program, table), excluded,
                    [&](const member& candidate) {
                      return (candidate.failure_domain == first ? 1 : 0) +
                             (candidate.failure_domain == second ? 1 : 0);
                    });
}

auto LocateCandidates(const program_id& program, const member_table& table)
    -> std::vector<vm_ref> {
  auto taken = std::map<region_id, std::size_t>{};
  auto candidates = std::vector<vm_ref>{};
  for (const auto& item : RankMembers(program, table)) {
    if (taken[item.region]++ < kCandidatesPerRegion) {
      candidates.push_back(item.vm);
    }
  }
  return candidates;
}

}  // namespace daisywind::program
