// The faults that a move has to survive and the steps at which they begin.
#ifndef DAISYWIND_TESTING_MIGRATION_FAULTS_H_
#define DAISYWIND_TESTING_MIGRATION_FAULTS_H_

#include <array>
#include <cstdint>
#include <span>
#include <string_view>

#include "testing/fake_migration.h"

namespace daisywind::testing {

// How far a move has come, by the state of the engines.
enum class move_step : std::uint8_t {
  kPatched,
  kLoading,
  kFirstReady,
  kFirstDraining,
  kFirstEmpty,
  kFinished,
};

inline constexpr auto kMoveSteps = std::array{
    move_step::kPatched,       move_step::kLoading,    move_step::kFirstReady,
    move_step::kFirstDraining, move_step::kFirstEmpty, move_step::kFinished};

// A fault with its beginning and end. `memory` carries a name from the one to
// the other.
struct move_fault {
  std::string_view name;
  void (*begin)(fake_move& move, std::string& memory);
  void (*end)(fake_move& move, const std::string& memory);
};

// All faults.
auto MoveFaults() -> std::span<const move_fault>;

// Runs the move until the step is reached. Returns false when it is not
// reached within two minutes.
auto AdvanceTo(fake_move& move, move_step step) -> bool;

// The name of a step.
auto ToString(move_step step) -> std::string_view;

}  // namespace daisywind::testing

#endif  // DAISYWIND_TESTING_MIGRATION_FAULTS_H_
