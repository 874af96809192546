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

// Progress of a migration from the old to the new engines.
enum class migration_step : std::uint8_t {
  // The configuration has been patched; no engine need have changed yet.
  kPatched,
  // A new engine is loading.
  kLoading,
  // A new engine serves the model.
  kFirstNewReady,
  // An old engine no longer has the role "serving".
  kFirstOldDraining,
  // An old engine is empty.
  kFirstOldEmpty,
  // The migration has finished.
  kFinished,
};

inline constexpr auto kMigrationSteps = std::array{
    migration_step::kPatched,       migration_step::kLoading,
    migration_step::kFirstNewReady, migration_step::kFirstOldDraining,
    migration_step::kFirstOldEmpty, migration_step::kFinished};

// An injectable fault. If `begin` chooses a VM at run time, it stores its name
// in `affected_vm`, so that `end` restores that VM.
struct migration_fault {
  std::string_view name;
  void (*begin)(fake_migration& simulation, std::string& affected_vm);
  void (*end)(fake_migration& simulation, const std::string& affected_vm);
};

auto MigrationFaults() -> std::span<const migration_fault>;

// Advances the simulation until the migration reaches `step`. Returns false
// when that takes more than two minutes of simulated time.
auto AdvanceTo(fake_migration& simulation, migration_step step) -> bool;

auto ToString(migration_step step) -> std::string_view;

}  // namespace daisywind::testing

#endif  // DAISYWIND_TESTING_MIGRATION_FAULTS_H_
