// Checks the observed history of a case against the guarantees of the program
// system, independently of its implementation.
#ifndef DAISYWIND_FAULT_MATRIX_CHECKER_H_
#define DAISYWIND_FAULT_MATRIX_CHECKER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "fault_matrix/observed_event.h"

namespace daisywind::fault_matrix {

enum class guarantee_kind : std::uint8_t {
  // A service call with an idempotency key runs at most once.
  kAtMostOnce,
  // A call that was refused as not run has not run.
  kTruthfulRefusal,
  // An answer is the complete text of one run of its turn.
  kWholeAnswer,
  // No request is refused because its history, turn, key, branch or
  // organisation does not match the state of the program.
  kHistory,
  // The runs use no more tokens and calls than the budget allows.
  kBudget,
  // A turn runs only after the previous turn of its branch.
  kTurnOrder,
  // Engines hold no session after the end of the program.
  kMemoryReleased,
  // The program ends; with several faults it may also be given up.
  kFinishes,
  // No more calls than allowed end with an unknown outcome.
  kFewUnknown,
};

// A guarantee that a history violates.
struct violation {
  guarantee_kind guarantee = guarantee_kind::kAtMostOnce;
  std::string detail;

  auto operator<=>(const violation&) const = default;
};

// The name in the printed results.
auto NameOf(guarantee_kind guarantee) -> std::string_view;

// All violations in a history.
auto CheckHistory(const case_history& history) -> std::vector<violation>;

}  // namespace daisywind::fault_matrix

#endif  // DAISYWIND_FAULT_MATRIX_CHECKER_H_
