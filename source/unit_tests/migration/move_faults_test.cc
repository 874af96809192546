// Injects every fault and every pair of faults at every step of a migration.
// The second fault of a pair begins while the first is still active.
#include <doctest/doctest.h>

#include <string>

#include "testing/fake_migration.h"
#include "testing/migration_faults.h"

namespace daisywind::migration {
namespace {

using testing::fake_migration;
using testing::migration_fault;
using testing::migration_step;

constexpr auto kSettleTime = duration{20s};
constexpr auto kBetweenFaults = duration{4s};
constexpr auto kFaultDuration = duration{25s};
// Late orders arrive up to 20 s after the faults. A settled endpoint is read
// every 30 s and then has to load again.
constexpr auto kRecoveryTime = duration{150s};

auto RunMove(migration_step step,
             const migration_fault& first,
             const migration_fault& second,
             std::uint64_t seed) -> void {
  auto move = fake_migration{{}, seed};
  move.Advance(kSettleTime);
  move.PatchToNew();
  REQUIRE(testing::AdvanceTo(move, step));
  auto first_memory = std::string{};
  auto second_memory = std::string{};
  first.begin(move, first_memory);
  move.Advance(kBetweenFaults);
  second.begin(move, second_memory);
  move.Advance(kFaultDuration);
  first.end(move, first_memory);
  move.Advance(kBetweenFaults);
  second.end(move, second_memory);
  move.Advance(kRecoveryTime);
  CHECK(move.IsFinished());
  CHECK(move.Progress(move.LeaseHolder()).is_evacuation_complete);
  CHECK(move.checker().violations().empty());
  for (const auto item : move.checker().violations()) {
    MESSAGE("violation " << static_cast<int>(item));
  }
}

}  // namespace

TEST_CASE("a migration completes despite each pair of faults at each step") {
  auto seed = std::uint64_t{1000};
  for (const auto step : testing::kMigrationSteps) {
    for (const auto& first : testing::MigrationFaults()) {
      for (const auto& second : testing::MigrationFaults()) {
        ++seed;
        CAPTURE(std::string{ToString(step)});
        CAPTURE(std::string{first.name});
        CAPTURE(std::string{second.name});
        CAPTURE(seed);
        RunMove(step, first, second, seed);
      }
    }
  }
}

}  // namespace daisywind::migration
