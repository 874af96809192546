#include "history/view.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

namespace daisywind::history {
namespace {

auto Member(const char* vm, const char* disk) -> member {
  return {vm_id(vm), disk_id(disk), std::string(vm) + ":1",
          failure_domain_id("d"), region_id("r")};
}

auto All() -> std::vector<vm_id> {
  return {vm_id("a"), vm_id("b"), vm_id("c")};
}

auto Three() -> view {
  return {7, {Member("a", "1"), Member("b", "2"), Member("c", "3")}};
}

TEST_CASE("any write and any read of a view meet in a member") {
  for (auto tolerated_losses = std::size_t{0}; tolerated_losses <= 3;
       ++tolerated_losses) {
    auto members = view{1, {}};
    while (members.members.size() < MaxMembers(tolerated_losses)) {
      members.members.push_back(Member("x", "y"));
      const auto sizes = QuorumSizes(members, tolerated_losses);
      CHECK(sizes.write + sizes.read > members.members.size());
      CHECK(sizes.write <= members.members.size());
    }
    // A full view leaves a copy after the loss that is to be borne.
    CHECK(QuorumSizes(members, tolerated_losses).write == tolerated_losses + 1);
  }
}

TEST_CASE(
    "in a view that a member has left, only all together know of no turn") {
  auto two = Three();
  two.members.pop_back();
  CHECK(QuorumSizes(two, 1) == quorum_sizes{2, 2});
  CHECK(QuorumSizes(Three(), 1) == quorum_sizes{2, 2});
}

TEST_CASE("a first VM opens the view, further ones are added to its bound") {
  auto inputs = join_inputs{{}, Member("a", "1"), 1, {}, {}, {}};
  auto next = ViewWithSelf(inputs);
  REQUIRE(next);
  CHECK(next->number == 1);
  inputs = {*next, Member("b", "2"), 1, {}, {}, {}};
  // The copy before it must be complete.
  CHECK_FALSE(ViewWithSelf(inputs));
  inputs.complete = {vm_id("a")};
  next = ViewWithSelf(inputs);
  REQUIRE(next);
  CHECK(next->members.size() == 2);
  CHECK_FALSE(ViewWithSelf({Three(), Member("d", "4"), 1, {}, {}, All()}));
}

TEST_CASE("a member with its disk stays as it is") {
  CHECK_FALSE(ViewWithSelf({Three(), Member("b", "2"), 1, {}, {}, All()}));
}

TEST_CASE("a VM whose disk was lost takes its own seat again") {
  const auto next = ViewWithSelf({Three(), Member("b", "new"), 1, {}, {}, {}});
  REQUIRE(next);
  CHECK(next->number == 8);
  CHECK(next->Find(vm_id("b"))->disk == disk_id("new"));
  CHECK(next->members.size() == 3);
}

TEST_CASE("a VM that stands by takes the seat of an unreachable member") {
  const auto next = ViewWithSelf({Three(),
                                  Member("d", "4"),
                                  1,
                                  {vm_id("c")},
                                  {},
                                  {vm_id("a"), vm_id("b")}});
  REQUIRE(next);
  CHECK(next->Find(vm_id("c")) == nullptr);
  CHECK(next->Find(vm_id("d")) != nullptr);
}

TEST_CASE("a retiring member's seat goes before an unreachable one's") {
  const auto next = ViewWithSelf(
      {Three(), Member("d", "4"), 1, {vm_id("c")}, {vm_id("a")}, All()});
  REQUIRE(next);
  CHECK(next->Find(vm_id("a")) == nullptr);
  CHECK(next->Find(vm_id("c")) != nullptr);
}

TEST_CASE("no seat of another is taken while too few copies are complete") {
  // A view of incomplete copies could make no complete one any more.
  CHECK_FALSE(ViewWithSelf({Three(),
                            Member("d", "4"),
                            1,
                            {vm_id("c")},
                            {},
                            {vm_id("a"), vm_id("c")}}));
}

TEST_CASE("a VM that retires takes no seat") {
  CHECK_FALSE(ViewWithSelf({{}, Member("a", "1"), 1, {}, {vm_id("a")}, {}}));
}

TEST_CASE("a member leaves only while enough disks stay") {
  const auto two = ViewWithout(Three(), vm_id("a"), 1);
  REQUIRE(two);
  CHECK(two->members.size() == 2);
  // With one disk left, its loss would lose everything.
  CHECK_FALSE(ViewWithout(*two, vm_id("b"), 1));
  CHECK_FALSE(ViewWithout(Three(), vm_id("x"), 1));
}

TEST_CASE("facts on fewer members than a write needs are missing copies") {
  CHECK(UnderReplicated({{1, 2, 3}, {2, 3, 4}}, 2) ==
        std::vector<std::uint64_t>{1, 4});
  CHECK(UnderReplicated({{1, 2}}, 2) == std::vector<std::uint64_t>{1, 2});
  CHECK(UnderReplicated({}, 2).empty());
}

TEST_CASE("a VM that leaves hands over what it has, as often as is needed") {
  // On three members, on two, on one and on none; the fifth is not its own.
  const auto lists =
      std::vector<std::vector<std::uint64_t>>{{1, 2, 5}, {1, 2, 3, 5}, {1}, {}};
  const auto owed = PlanCopies({1, 2, 3, 4}, lists, 3);
  REQUIRE(owed.size() == lists.size());
  auto copies = std::map<std::uint64_t, std::size_t>{};
  for (auto i = std::size_t{0}; i < lists.size(); ++i) {
    for (const auto hash : lists[i]) {
      ++copies[hash];
    }
    for (const auto hash : owed[i]) {
      CHECK(std::find(lists[i].begin(), lists[i].end(), hash) ==
            lists[i].end());
      ++copies[hash];
    }
  }
  for (const auto hash : {1, 2, 3, 4}) {
    CHECK(copies[hash] == 3);
  }
  CHECK(copies[5] == 2);
}

TEST_CASE("with too few members each gets everything") {
  const auto owed = PlanCopies({7, 8}, {{}, {8}}, 3);
  CHECK(owed[0].size() == 2);
  CHECK(owed[1] == std::vector<std::uint64_t>{7});
}

}  // namespace
}  // namespace daisywind::history
