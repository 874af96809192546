// The faults that a migration must tolerate and the steps at which they are
// injected.
#ifndef DAISYWIND_TESTING_MIGRATION_FAULTS_H_
#define DAISYWIND_TESTING_MIGRATION_FAULTS_H_

#include <array>
#include <cstdint>
#include <span>
#include <string_view>

#include "testing/fake_migration.h"

namespace daisywind::testing {

// Progress of a migration, judged by the state of the engines.
enum class migration_step : std::uint8_t {
  kPatched,
  kLoading,
  kFirstReady,
  kFirstDraining,
  kFirstEmpty,
  kFinished,
};

inline constexpr auto kMigrationSteps =
    std::array{migration_step::kPatched,    migration_step::kLoading,
               migration_step::kFirstReady, migration_step::kFirstDraining,
               migration_step::kFirstEmpty, migration_step::kFinished};

// An injectable fault. `begin` stores in `target` the name of the VM that it
// affects, if that is chosen at run time, so that `end` restores the same VM.
struct migration_fault {
  std::string_view name;
  void (*begin)(fake_migration& simulation, std::string& target);
  void (*end)(fake_migration& simulation, const std::string& target);
};

auto MigrationFaults() -> std::span<const migration_fault>;

// Advances the simulation until the migration reaches `step`. Returns false
// when that takes more than two minutes of simulated time.
auto AdvanceTo(fake_migration& simulation, migration_step step) -> bool;

auto ToString(migration_step step) -> std::string_view;

}  // namespace daisywind::testing

#endif  // DAISYWIND_TESTING_MIGRATION_FAULTS_H_
