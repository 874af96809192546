// Runs every ordered pair of faults, including each fault paired with itself,
// against a fleet of eight VMs. After the faults have ended, every running VM
// must see exactly the running VMs.
#include <doctest/doctest.h>

#include <array>
#include <string>

#include "testing/fake_fleet.h"

namespace daisywind::membership {
namespace {

using testing::fake_fleet;

constexpr auto kFaultTime = duration{45s};
constexpr auto kRecoveryTime = duration{60s};

struct fault {
  const char* name;
  void (*begin)(fake_fleet&);
  void (*end)(fake_fleet&);
};

auto Nothing(fake_fleet& /*fleet*/) -> void {}

constexpr auto kFaults = std::array{
    fault{"key-value service down",
          [](fake_fleet& f) { f.SetServiceUp(false); },
          [](fake_fleet& f) { f.SetServiceUp(true); }},
    fault{"key-value replies lost",
          [](fake_fleet& f) { f.SetServiceResponseLoss(true); },
          [](fake_fleet& f) { f.SetServiceResponseLoss(false); }},
    fault{"VM dead", [](fake_fleet& f) { f.Kill("vm-1"); },
          [](fake_fleet& f) { f.Start("vm-1", "rosario-a", {"vm-2:1"}); }},
    fault{"VM restarted",
          [](fake_fleet& f) { f.Start("vm-6", "cordoba-a", {"vm-2:1"}); },
          Nothing},
    fault{"VM paused", [](fake_fleet& f) { f.Pause("vm-2"); },
          [](fake_fleet& f) { f.Resume("vm-2"); }},
    fault{"regions partitioned",
          [](fake_fleet& f) { f.PartitionRegion("rosario"); },
          [](fake_fleet& f) { f.HealPartitions(); }},
    fault{"messages lost", [](fake_fleet& f) { f.SetMessageLoss(0.2); },
          [](fake_fleet& f) { f.SetMessageLoss(0); }},
    fault{"VM leaves", [](fake_fleet& f) { f.Leave("vm-3"); },
          [](fake_fleet& f) { f.Start("vm-3", "rosario-a", {"vm-0:1"}); }},
};

auto RunFaults(const fault& first, const fault& second, std::uint64_t seed)
    -> bool {
  auto fleet = fake_fleet{{}, seed};
  for (auto i = 0; i < 8; ++i) {
    fleet.Start("vm-" + std::to_string(i),
                i % 2 == 0 ? "cordoba-a" : "rosario-a", {"vm-0:1"});
  }
  fleet.Advance(20s);
  first.begin(fleet);
  fleet.Advance(kFaultTime / 3);
  second.begin(fleet);
  fleet.Advance(kFaultTime);
  first.end(fleet);
  second.end(fleet);
  fleet.Advance(kRecoveryTime);
  return fleet.HasConverged();
}

}  // namespace

TEST_CASE("the fleet recovers from each pair of faults") {
  auto seed = std::uint64_t{100};
  for (const auto& first : kFaults) {
    for (const auto& second : kFaults) {
      ++seed;
      CAPTURE(first.name);
      CAPTURE(second.name);
      CAPTURE(seed);
      CHECK(RunFaults(first, second, seed));
    }
  }
}

TEST_CASE("an outage of the key-value service keeps all members alive") {
  auto fleet = fake_fleet{{}, 300};
  for (auto i = 0; i < 8; ++i) {
    fleet.Start("vm-" + std::to_string(i), "cordoba-a");
  }
  fleet.Advance(30s);
  fleet.SetServiceUp(false);
  fleet.Advance(std::chrono::minutes{30});
  CHECK(fleet.LeaseCount() == 0);
  CHECK(fleet.failure_reports().empty());
  CHECK(fleet.HasConverged());
}

}  // namespace daisywind::membership
