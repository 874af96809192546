#include "testing/migration_faults.h"

#include <cstddef>
#include <string>

namespace daisywind::testing {
namespace {

using migration::endpoint_role;

constexpr auto kAdvanceTimeout = duration{120s};
constexpr auto kAdvanceStep = duration{100ms};
constexpr auto kOtherVm = "vm-1";

auto AnyEngine(fake_migration& simulation,
               const std::array<const char*, 3>& names,
               bool (*predicate)(const fake_engine&)) -> bool {
  for (const auto* name : names) {
    if (predicate(simulation.Engine(name))) {
      return true;
    }
  }
  return false;
}

constexpr auto kOld = std::array{"old-0", "old-1", "old-2"};
constexpr auto kNew = std::array{"new-0", "new-1", "new-2"};

auto HasReached(fake_migration& simulation, migration_step step) -> bool {
  switch (step) {
    case migration_step::kPatched:
      return true;
    case migration_step::kLoading:
      return AnyEngine(simulation, kNew, [](const fake_engine& engine) {
        return !engine.Report().loading.empty();
      });
    case migration_step::kFirstNewReady:
      return AnyEngine(simulation, kNew, [](const fake_engine& engine) {
        return engine.Serves(model_id{"agent"});
      });
    case migration_step::kFirstOldDraining:
      return AnyEngine(simulation, kOld, [](const fake_engine& engine) {
        return engine.Report().role != endpoint_role::kServing;
      });
    case migration_step::kFirstOldEmpty:
      return AnyEngine(simulation, kOld, [](const fake_engine& engine) {
        return engine.IsEmpty();
      });
    case migration_step::kFinished:
      return simulation.IsFinished();
  }
  return false;
}

constexpr auto kFaults = std::array{
    migration_fault{
        "none",
        [](fake_migration& /*simulation*/, std::string& /*affected_vm*/) {},
        [](fake_migration& /*simulation*/, const std::string& /*affected_vm*/) {
        }},
    migration_fault{
        "lease service down",
        [](fake_migration& simulation, std::string& /*affected_vm*/) {
          simulation.lease.is_up = false;
        },
        [](fake_migration& simulation, const std::string& /*affected_vm*/) {
          simulation.lease.is_up = true;
        }},
    migration_fault{
        "lease service slow",
        [](fake_migration& simulation, std::string& /*affected_vm*/) {
          simulation.lease.delay = 4s;
        },
        [](fake_migration& simulation, const std::string& /*affected_vm*/) {
          simulation.lease.delay = 2ms;
        }},
    migration_fault{
        "lease service responses lost",
        [](fake_migration& simulation, std::string& /*affected_vm*/) {
          simulation.lease.drops_responses = true;
        },
        [](fake_migration& simulation, const std::string& /*affected_vm*/) {
          simulation.lease.drops_responses = false;
        }},
    migration_fault{
        "lease expires while its holder is paused",
        [](fake_migration& simulation, std::string& affected_vm) {
          affected_vm = simulation.LeaseHolder();
          simulation.Pause(affected_vm);
        },
        [](fake_migration& simulation, const std::string& affected_vm) {
          simulation.Resume(affected_vm);
        }},
    migration_fault{
        "lease holder dead",
        [](fake_migration& simulation, std::string& affected_vm) {
          affected_vm = simulation.LeaseHolder();
          simulation.Kill(affected_vm);
        },
        [](fake_migration& simulation, const std::string& affected_vm) {
          simulation.Restart(affected_vm);
        }},
    migration_fault{
        "another VM paused",
        [](fake_migration& simulation, std::string& /*affected_vm*/) {
          simulation.Pause(kOtherVm);
        },
        [](fake_migration& simulation, const std::string& /*affected_vm*/) {
          simulation.Resume(kOtherVm);
        }},
    migration_fault{
        "lease holder partitioned from the engines",
        [](fake_migration& simulation, std::string& affected_vm) {
          affected_vm = simulation.LeaseHolder();
          simulation.vms_cut_from_engines.insert(affected_vm);
        },
        [](fake_migration& simulation, const std::string& affected_vm) {
          simulation.vms_cut_from_engines.erase(affected_vm);
        }},
    migration_fault{
        "lease holder partitioned from the lease service",
        [](fake_migration& simulation, std::string& affected_vm) {
          affected_vm = simulation.LeaseHolder();
          simulation.lease.unreachable_from.insert(affected_vm);
        },
        [](fake_migration& simulation, const std::string& affected_vm) {
          simulation.lease.unreachable_from.erase(affected_vm);
        }},
    migration_fault{
        "orders lost",
        [](fake_migration& simulation, std::string& /*affected_vm*/) {
          simulation.drops_orders = true;
        },
        [](fake_migration& simulation, const std::string& /*affected_vm*/) {
          simulation.drops_orders = false;
        }},
    migration_fault{
        "order responses lost",
        [](fake_migration& simulation, std::string& /*affected_vm*/) {
          simulation.drops_order_responses = true;
        },
        [](fake_migration& simulation, const std::string& /*affected_vm*/) {
          simulation.drops_order_responses = false;
        }},
    migration_fault{
        "orders duplicated late",
        [](fake_migration& simulation, std::string& /*affected_vm*/) {
          simulation.duplicates_orders_after = 20s;
        },
        [](fake_migration& simulation, const std::string& /*affected_vm*/) {
          simulation.duplicates_orders_after.reset();
        }},
    migration_fault{
        "configuration patched back and forth",
        [](fake_migration& simulation, std::string& /*affected_vm*/) {
          simulation.PatchToOld();
        },
        [](fake_migration& simulation, const std::string& /*affected_vm*/) {
          simulation.PatchToNew();
        }},
    migration_fault{
        "weight store unavailable",
        [](fake_migration& simulation, std::string& /*affected_vm*/) {
          simulation.store.is_up = false;
        },
        [](fake_migration& simulation, const std::string& /*affected_vm*/) {
          simulation.store.is_up = true;
        }},
    migration_fault{
        "VM of an old endpoint listed as leaving",
        [](fake_migration& simulation, std::string& /*affected_vm*/) {
          simulation.ListAsLeaving({"old-1"});
        },
        [](fake_migration& simulation, const std::string& /*affected_vm*/) {
          simulation.ListAsLeaving({});
        }},
    migration_fault{
        "old engine restarted",
        [](fake_migration& simulation, std::string& /*affected_vm*/) {
          simulation.RestartEngine("old-2");
        },
        [](fake_migration& /*simulation*/, const std::string& /*affected_vm*/) {
        }},
};

}  // namespace

auto MigrationFaults() -> std::span<const migration_fault> {
  return kFaults;
}

auto AdvanceTo(fake_migration& simulation, migration_step step) -> bool {
  const auto end = simulation.now() + kAdvanceTimeout;
  while (!HasReached(simulation, step)) {
    if (simulation.now() >= end) {
      return false;
    }
    simulation.Advance(kAdvanceStep);
  }
  return true;
}

auto ToString(migration_step step) -> std::string_view {
  constexpr auto kNames = std::array<std::string_view, kMigrationSteps.size()>{
      "patched",        "loading",     "first ready",
      "first draining", "first empty", "finished"};
  return kNames.at(static_cast<std::size_t>(step));
}

}  // namespace daisywind::testing
