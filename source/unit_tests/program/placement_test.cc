#include "program/placement.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

namespace daisywind::program {
namespace {

auto Table() -> member_table {
  auto members = std::vector<member>{};
  for (auto i = 0; i < 12; ++i) {
    auto item = member{};
    item.vm = vm_ref{vm_id{"vm-" + std::to_string(i)}, 1};
    item.failure_domain = failure_domain_id{"domain-" + std::to_string(i % 4)};
    item.region = region_id{i % 4 < 2 ? "north" : "south"};
    members.push_back(item);
  }
  return MakeMemberTable(std::move(members));
}

}  // namespace

TEST_CASE("replicas are placed in different failure domains") {
  const auto table = Table();
  for (auto i = std::uint64_t{0}; i < 200; ++i) {
    const auto program = program_id{i, 17 * i};
    const auto& owner = table.members[i % table.members.size()];
    const auto witness = ChooseWitness(program, table, owner.vm, {owner.vm});
    const auto arbiter =
        ChooseArbiter(program, table, owner.vm, witness, {owner.vm, witness});
    const auto* second = FindMember(table, witness);
    const auto* third = FindMember(table, arbiter);
    CHECK(second->region == owner.region);
    CHECK(second->failure_domain != owner.failure_domain);
    CHECK(third->failure_domain != owner.failure_domain);
    CHECK(third->failure_domain != second->failure_domain);
  }
}

TEST_CASE("a leaving VM is not chosen as a replica") {
  auto table = Table();
  for (auto& item : table.members) {
    item.is_leaving = item.vm.vm != vm_id{"vm-3"};
  }
  const auto owner = table.members[0].vm;
  CHECK(ChooseWitness({1, 2}, table, owner, {owner}).vm == vm_id{"vm-3"});
}

TEST_CASE("the rendezvous order of the other VMs stays when a VM is removed") {
  auto table = Table();
  const auto before = RankMembers({3, 4}, table);
  const auto gone = before.back().vm;
  std::erase_if(table.members,
                [&](const member& item) { return item.vm == gone; });
  const auto after = RankMembers({3, 4}, table);
  for (auto i = std::size_t{0}; i < after.size(); ++i) {
    CHECK(after[i] == before[i]);
  }
}

}  // namespace daisywind::program
