// The history of a case as the caller and the endpoints observe it.
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
  // The caller sent the request number `request`.
  kRequestSent,
  // The caller received the complete answer `text` to a request.
  kAnswered,
  // The caller received a refusal with `result` and `reason`.
  kRefused,
  // The caller abandoned a request: it timed out, its connection broke, or the
  // answer was lost.
  kAbandoned,
  // An endpoint started the run number `run`. `text` and `tokens` are the
  // answer that it will give and the tokens that it will use.
  kRunStarted,
  // An endpoint finished a run with the answer `text`, using `tokens` tokens.
  kRunFinished,
  // The caller received the confirmation that the program has ended.
  kProgramEnded,
  // The caller gave the program up because of `reason`.
  kProgramRefused,
};

// One event that the caller or an endpoint observes. Fields that do not apply
// to the kind keep their defaults.
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

// The history of one case and the limits that it is checked against.
struct case_history {
  std::vector<observed_event> events;
  program::budget limits;
  // Sessions that engines still hold a fixed time after the program's end.
  std::size_t held_sessions = 0;
  // The program must end. Set for cases with at most one fault.
  bool must_finish = false;
  // Number of calls whose outcome may stay unknown.
  std::size_t allowed_unknown = 0;
};

}  // namespace daisywind::fault_matrix

#endif  // DAISYWIND_FAULT_MATRIX_OBSERVED_EVENT_H_
