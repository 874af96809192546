#include "membership/membership_system.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "testing/fake_fleet.h"

namespace daisywind::membership {
namespace {

using testing::fake_fleet;

auto StartFleet(fake_fleet& fleet, int count) -> void {
  for (auto i = 0; i < count; ++i) {
    const auto domain = i % 2 == 0 ? "cordoba-a" : "rosario-a";
    fleet.Start("vm-" + std::to_string(i), domain);
  }
  fleet.Advance(30s);
}

// Counts the verdicts, from all members, that the process is dead.
auto CountDead(const fake_fleet& fleet, const vm_ref& subject) -> long {
  return std::count_if(fleet.failure_reports().begin(),
                       fleet.failure_reports().end(),
                       [&](const testing::failure_report& item) {
                         return item.is_dead && item.subject == subject;
                       });
}

}  // namespace

TEST_CASE("new VMs find each other through the key-value service") {
  auto fleet = fake_fleet{{}, 1};
  StartFleet(fleet, 8);
  CHECK(fleet.HasConverged());
  CHECK(fleet.LeaseCount() == 8);
  CHECK(fleet.failure_reports().empty());
}

TEST_CASE(
    "new VMs find each other by seed addresses without the key-value service") {
  auto fleet = fake_fleet{{}, 2};
  fleet.SetServiceUp(false);
  fleet.Start("a", "cordoba-a");
  fleet.Start("b", "cordoba-b", {"a:1"});
  fleet.Start("c", "rosario-a", {"b:1", "nowhere:1"});
  fleet.Advance(20s);
  CHECK(fleet.HasConverged());
}

TEST_CASE("a dead VM is reported once by each of the others") {
  auto fleet = fake_fleet{{}, 3};
  StartFleet(fleet, 8);
  const auto dead = fleet.Ref("vm-3");
  fleet.Kill("vm-3");
  fleet.Advance(20s);
  CHECK(fleet.HasConverged());
  CHECK(CountDead(fleet, dead) == 7);
}

TEST_CASE("a VM that leaves is reported dead without being suspected") {
  auto fleet = fake_fleet{{}, 4};
  StartFleet(fleet, 8);
  const auto left = fleet.Ref("vm-2");
  fleet.Leave("vm-2");
  fleet.Advance(2s);
  CHECK(fleet.HasConverged());
  CHECK(CountDead(fleet, left) == 7);
  CHECK(fleet.failure_reports().size() == 7);
  CHECK(fleet.LeaseCount() == 7);
}

TEST_CASE("a restarted VM replaces its older incarnation at once") {
  auto fleet = fake_fleet{{}, 5};
  StartFleet(fleet, 8);
  const auto older = fleet.Ref("vm-1");
  fleet.Start("vm-1", "rosario-a");
  fleet.Advance(3s);
  CHECK(fleet.HasConverged());
  CHECK(CountDead(fleet, older) == 7);
  CHECK(CountDead(fleet, fleet.Ref("vm-1")) == 0);
}

TEST_CASE("a process is told to exit when its VM has a newer incarnation") {
  auto system = membership_system{{}, 6};
  auto self = member{};
  self.ref = vm_ref{vm_id{"a"}, 1};
  system.Handle(started{self, {}}, instant{});
  auto content = message{};
  content.sender.ref = vm_ref{vm_id{"b"}, 1};
  // `run` is the number of the incarnation.
  self.ref.run = 2;
  content.updates = {self};
  const auto commands = system.Handle(peer_message{content}, instant{});
  CHECK(std::count(commands.begin(), commands.end(),
                   command{self_superseded{self.ref}}) == 1);
  CHECK(system.Tick(instant{60s}).empty());
}

TEST_CASE("a paused VM is declared dead and rejoins without further verdicts") {
  auto fleet = fake_fleet{{}, 7};
  StartFleet(fleet, 8);
  const auto paused = fleet.Ref("vm-4");
  fleet.Pause("vm-4");
  fleet.Advance(60s);
  CHECK(CountDead(fleet, paused) == 7);
  const auto before = fleet.failure_reports().size();
  fleet.Resume("vm-4");
  fleet.Advance(30s);
  CHECK(fleet.HasConverged());
  // The resumed VM must not suspect others because of acks that it missed
  // during its pause.
  CHECK(fleet.failure_reports().size() == before);
}

TEST_CASE("a member is not declared dead after a short pause") {
  auto fleet = fake_fleet{{}, 8};
  StartFleet(fleet, 8);
  fleet.Pause("vm-4");
  fleet.Advance(2s);
  fleet.Resume("vm-4");
  fleet.Advance(20s);
  CHECK(fleet.HasConverged());
  CHECK(CountDead(fleet, fleet.Ref("vm-4")) == 0);
}

TEST_CASE("regions merge again after a network partition") {
  auto fleet = fake_fleet{{}, 9};
  StartFleet(fleet, 8);
  fleet.PartitionRegion("rosario");
  fleet.Advance(600s);
  CHECK(fleet.VisibleMembers("vm-0") ==
        std::set<std::string>{"vm-0", "vm-2", "vm-4", "vm-6"});
  CHECK(fleet.VisibleMembers("vm-1") ==
        std::set<std::string>{"vm-1", "vm-3", "vm-5", "vm-7"});
  fleet.HealPartitions();
  fleet.Advance(40s);
  CHECK(fleet.HasConverged());
}

TEST_CASE("a new VM can take over the address of a dead one") {
  auto fleet = fake_fleet{{}, 10};
  StartFleet(fleet, 6);
  const auto replaced = fleet.Ref("vm-5");
  fleet.Kill("vm-5");
  fleet.Start("vm-9", "rosario-a", {}, "vm-5:1");
  fleet.Advance(30s);
  CHECK(fleet.HasConverged());
  CHECK(CountDead(fleet, replaced) >= 5);
  CHECK(CountDead(fleet, fleet.Ref("vm-9")) == 0);
}

}  // namespace daisywind::membership
