// Holds the outside history of a case against the promises. It knows nothing of
// the code that it checks.
#ifndef DAISYWIND_FAULT_MATRIX_CHECKER_H_
#define DAISYWIND_FAULT_MATRIX_CHECKER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "fault_matrix/observed_event.h"

namespace daisywind::fault_matrix {

enum class guarantee_kind : std::uint8_t {
  kAtMostOnce,
  kTruthfulRefusal,
  kWholeAnswer,
  kHistory,
  kBudget,
  kTurnOrder,
  kMemoryReleased,
  kFinishes,
  kFewUnknown,
};

// A broken promise.
struct violation {
  guarantee_kind guarantee = guarantee_kind::kAtMostOnce;
  std::string detail;

  auto operator<=>(const violation&) const = default;
};

auto NameOf(guarantee_kind guarantee) -> std::string_view;

// All promises that a history breaks.
auto CheckHistory(const case_history& history) -> std::vector<violation>;

}  // namespace daisywind::fault_matrix

#endif  // DAISYWIND_FAULT_MATRIX_CHECKER_H_
