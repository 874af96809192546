#include "history/view.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include "common/vm_location.h"

namespace daisywind::history {
namespace {

auto Member(const char* vm, const char* disk) -> member {
  return {vm_id(vm), disk_id(disk), std::string(vm) + ":1",
          failure_domain_id("d"), region_id("r")};
}

auto AllMembers() -> std::vector<vm_id> {
  return {vm_id("a"), vm_id("b"), vm_id("c")};
}

auto ThreeMembers() -> view {
  return {7, {Member("a", "1"), Member("b", "2"), Member("c", "3")}};
}

TEST_CASE("every write quorum of a view intersects every read quorum") {
  for (auto tolerated_losses = std::size_t{0}; tolerated_losses <= 3;
       ++tolerated_losses) {
    auto members = view{1, {}};
    while (members.members.size() < MaxMembers(tolerated_losses)) {
      members.members.push_back(Member("x", "y"));
      const auto sizes = QuorumSizes(members, tolerated_losses);
      CHECK(sizes.write + sizes.read > members.members.size());
      CHECK(sizes.write <= members.members.size());
    }
    // In a full view, a write leaves one copy after the tolerated loss of
    // disks.
    CHECK(QuorumSizes(members, tolerated_losses).write == tolerated_losses + 1);
  }
}

TEST_CASE("in a view that a member has left, a read needs all members") {
  auto two = ThreeMembers();
  two.members.pop_back();
  CHECK(QuorumSizes(two, 1) == quorum_sizes{2, 2});
  CHECK(QuorumSizes(ThreeMembers(), 1) == quorum_sizes{2, 2});
}

TEST_CASE("the first VM creates the view, and others join up to the maximum") {
  auto inputs = join_inputs{{}, Member("a", "1"), 1, {}, {}, {}};
  auto next = ViewWithSelf(inputs);
  REQUIRE(next);
  CHECK(next->number == 1);
  inputs = {*next, Member("b", "2"), 1, {}, {}, {}};
  // The existing replica must be complete.
  CHECK_FALSE(ViewWithSelf(inputs));
  inputs.complete = {vm_id("a")};
  next = ViewWithSelf(inputs);
  REQUIRE(next);
  CHECK(next->members.size() == 2);
  CHECK_FALSE(ViewWithSelf(
      {ThreeMembers(), Member("d", "4"), 1, {}, {}, AllMembers()}));
}

TEST_CASE("a member with an unchanged disk does not change the view") {
  CHECK_FALSE(ViewWithSelf(
      {ThreeMembers(), Member("b", "2"), 1, {}, {}, AllMembers()}));
}

TEST_CASE("a VM that lost its disk rejoins in its own place") {
  const auto next =
      ViewWithSelf({ThreeMembers(), Member("b", "new"), 1, {}, {}, {}});
  REQUIRE(next);
  CHECK(next->number == 8);
  CHECK(next->Find(vm_id("b"))->disk == disk_id("new"));
  CHECK(next->members.size() == 3);
}

TEST_CASE("a standby VM replaces an unreachable member") {
  const auto next = ViewWithSelf({ThreeMembers(),
                                  Member("d", "4"),
                                  1,
                                  {vm_id("c")},
                                  {},
                                  {vm_id("a"), vm_id("b")}});
  REQUIRE(next);
  CHECK(next->Find(vm_id("c")) == nullptr);
  CHECK(next->Find(vm_id("d")) != nullptr);
}

TEST_CASE("a retiring member is replaced before an unreachable one") {
  const auto next = ViewWithSelf({ThreeMembers(),
                                  Member("d", "4"),
                                  1,
                                  {vm_id("c")},
                                  {vm_id("a")},
                                  AllMembers()});
  REQUIRE(next);
  CHECK(next->Find(vm_id("a")) == nullptr);
  CHECK(next->Find(vm_id("c")) != nullptr);
}

TEST_CASE("no member is replaced while too few replicas are complete") {
  // A view without complete replicas could never make one again.
  CHECK_FALSE(ViewWithSelf({ThreeMembers(),
                            Member("d", "4"),
                            1,
                            {vm_id("c")},
                            {},
                            {vm_id("a"), vm_id("c")}}));
}

TEST_CASE("a retiring VM does not join") {
  CHECK_FALSE(ViewWithSelf({{}, Member("a", "1"), 1, {}, {vm_id("a")}, {}}));
}

TEST_CASE("a member leaves only if enough disks remain") {
  const auto two = ViewWithout(ThreeMembers(), vm_id("a"), 1);
  REQUIRE(two);
  CHECK(two->members.size() == 2);
  // With one disk left, losing it would lose every fact.
  CHECK_FALSE(ViewWithout(*two, vm_id("b"), 1));
  CHECK_FALSE(ViewWithout(ThreeMembers(), vm_id("x"), 1));
}

TEST_CASE("facts on fewer members than a write needs are under-replicated") {
  CHECK(UnderReplicated({{1, 2, 3}, {2, 3, 4}}, 2) ==
        std::vector<std::uint64_t>{1, 4});
  CHECK(UnderReplicated({{1, 2}}, 2) == std::vector<std::uint64_t>{1, 2});
  CHECK(UnderReplicated({}, 2).empty());
}

TEST_CASE("a leaving VM's facts are copied until enough members have them") {
  // Facts 1 to 4 are on three members, two, one and none. The leaving VM does
  // not have fact 5.
  const auto lists =
      std::vector<std::vector<std::uint64_t>>{{1, 2, 5}, {1, 2, 3, 5}, {1}, {}};
  const auto planned = PlanCopies({1, 2, 3, 4}, lists, 3);
  REQUIRE(planned.size() == lists.size());
  auto copies = std::map<std::uint64_t, std::size_t>{};
  for (auto i = std::size_t{0}; i < lists.size(); ++i) {
    for (const auto hash : lists[i]) {
      ++copies[hash];
    }
    for (const auto hash : planned[i]) {
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

TEST_CASE("with too few members each gets every fact that it lacks") {
  const auto planned = PlanCopies({7, 8}, {{}, {8}}, 3);
  CHECK(planned[0].size() == 2);
  CHECK(planned[1] == std::vector<std::uint64_t>{7});
}

TEST_CASE("a new replica copies over a distance only what near members lack") {
  using list = std::vector<std::uint64_t>;
  const auto near = list{1, 2, 3, 9};
  const auto other_near = list{2, 3, 4};
  const auto far = list{1, 2, 4, 5, 6, 9};
  const auto planned = PlanPulls({9}, {near, other_near, far}, 3);
  // Fact 2 has three copies already, fact 9 is known.
  CHECK(planned == std::vector<list>{{1, 3}, {4}, {5, 6}});
}

TEST_CASE("members of the same failure domain are nearer than of the region") {
  const auto to = member{vm_id("a"), disk_id("1"), "10.0.0.1:1",
                         failure_domain_id("d"), region_id("r")};
  const auto from = [](const char* domain, const char* region) {
    return vm_location{vm_id("b"), failure_domain_id(domain),
                       region_id(region)};
  };
  CHECK(Distance(to, from("d", "r")) == 0);
  CHECK(Distance(to, from("e", "r")) == 1);
  CHECK(Distance(to, from("e", "s")) == 2);
}

}  // namespace
}  // namespace daisywind::history
