// Bounds and periods of the program system.
#ifndef DAISYWIND_PROGRAM_PROGRAM_OPTIONS_H_
#define DAISYWIND_PROGRAM_PROGRAM_OPTIONS_H_

#include <compare>
#include <cstddef>
#include <cstdint>

#include "common/time.h"
#include "program/program_state.h"

namespace daisywind::program {

// Deliberate breaks of the protocol, for tests of the checker only.
struct protocol_mutations {
  bool send_before_ack = false;
  bool skip_reservation = false;
  bool retry_non_idempotent = false;
  bool keep_epoch_open = false;
  bool skip_release = false;
  bool skip_turn_order = false;
  bool skip_prefix_check = false;

  auto operator<=>(const protocol_mutations&) const = default;
};

// Settings of the program system.
struct program_options {
  state_bounds bounds;
  // A message that needs an answer is repeated after this time.
  duration resend_after = 500ms;
  // An entry VM that hears nothing from a member for this time tries the next.
  duration member_silence = 1500ms;
  // An entry VM gives up after this time without any sign of the request.
  duration forward_timeout = 30s;
  // A call waits this long for earlier turns to arrive.
  duration gap_bound = 10s;
  // A call of a taken-over program that is in doubt waits this long for a late
  // settlement or a lookup.
  duration doubt_bound = 3s;
  // An answer leaves at the latest after this time, also when the witness has
  // not recorded it.
  duration settle_bound = 10s;
  // A call is refused when its intent cannot be recorded within this time.
  duration intent_bound = 20s;
  // A peer that does not acknowledge for this time is taken for lost.
  duration witness_silence = 2s;
  duration release_period = 1s;
  // A program that nobody has known for this time has lost all its copies.
  duration orphan_timeout = 60s;
  // A replaced owner reports the end of its attempts for this time.
  duration report_timeout = 60s;
  // A witness asks the owner about a program that should have ended.
  duration audit_period = 60s;
  // A program without a call for this time ends.
  duration idle_limit = 600s;
  // Upper bound of any program's own time limit.
  duration time_limit = 28800s;
  // Votes and references of programs that moved are kept this long.
  duration vote_keep = 32400s;
  std::size_t max_programs = 200000;
  std::size_t max_branches = 64;
  std::int64_t max_calls = 4096;
  std::size_t max_waiting_calls = 16;
  std::size_t max_waiting_requests = 65536;
  // Votes and references together.
  std::size_t max_references = 2000000;
  // A call that fails this often is refused for good, whoever sends it again:
  // it may be what crashes endpoints.
  std::size_t max_attempts_per_call = 4;
  std::size_t max_stream_bytes = std::size_t{4} * 1024 * 1024;
  protocol_mutations mutations;
};

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_PROGRAM_OPTIONS_H_
