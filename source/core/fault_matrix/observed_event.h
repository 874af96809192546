// The history of a run as callers and endpoints see it.
#ifndef DAISYWIND_FAULT_MATRIX_OBSERVED_EVENT_H_
#define DAISYWIND_FAULT_MATRIX_OBSERVED_EVENT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "common/time.h"
#include "program/types.h"

namespace daisywind::fault_matrix {

enum class observed_event_kind : std::uint8_t {
  // A caller sent a request; `request` numbers it.
  kRequestSent,
  // The whole answer of a request, `text`.
  kAnswered,
  // A refusal with `result` and `reason`.
  kRefused,
  // The caller gave up, or its connection broke.
  kAbandoned,
  // An endpoint began to run a call; `run` numbers it.
  kRunStarted,
  // An endpoint finished a run with the answer `text` and `tokens` used.
  kRunFinished,
  // The caller has been told that the program is over.
  kProgramEnded,
  // The caller gives the program up for `reason`.
  kProgramRefused,
};

// One event at the outside of the system.
struct observed_event {
  instant at{};
  observed_event_kind kind = observed_event_kind::kRequestSent;
  branch_id branch;
  program::turn_number turn = 0;
  std::string key;
  std::uint64_t request = 0;
  std::uint64_t run = 0;
  program::outcome result = program::outcome::kUnknown;
  program::refusal_reason reason = program::refusal_reason::kBadRequest;
  std::string text;
  std::int64_t tokens = 0;
  bool is_chat = false;

  auto operator<=>(const observed_event&) const = default;
};

// The history of one case with what it was to keep to.
struct case_history {
  std::vector<observed_event> events;
  program::budget limits;
  // Sessions that engines still held a bounded time after the program's end.
  std::size_t held_sessions = 0;
  // One fault alone must let the program finish.
  bool must_finish = false;
  // Calls that may end as unknown.
  std::size_t allowed_unknown = 0;
};

}  // namespace daisywind::fault_matrix

#endif  // DAISYWIND_FAULT_MATRIX_OBSERVED_EVENT_H_
