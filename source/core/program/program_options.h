// Limits, time-outs and intervals of the program system.
#ifndef DAISYWIND_PROGRAM_PROGRAM_OPTIONS_H_
#define DAISYWIND_PROGRAM_PROGRAM_OPTIONS_H_

#include <compare>
#include <cstddef>
#include <cstdint>

#include "common/time.h"
#include "program/program_state.h"

namespace daisywind::program {

// Deliberate protocol faults. Only tests set them, to show that the checker of
// the fault-injection tests detects them.
struct protocol_mutations {
  // Sends an attempt before the witness has recorded its intent.
  bool send_before_ack = false;
  // Reserves no budget for running calls.
  bool skip_reservation = false;
  bool retry_non_idempotent = false;
  // Goes on recording updates after an epoch has been closed.
  bool keep_epoch_open = false;
  bool skip_release = false;
  bool skip_turn_order = false;
  // Does not check that a new answer starts with the text already delivered.
  bool skip_prefix_check = false;

  auto operator<=>(const protocol_mutations&) const = default;
};

// Settings of the program system.
struct program_options {
  state_bounds bounds;
  // Interval after which an unanswered message is resent.
  duration resend_interval = 500ms;
  // Time without a reply after which an entry VM tries the next member.
  duration member_timeout = 1500ms;
  // Time without any sign of a request after which the entry VM refuses it.
  duration forward_timeout = 30s;
  // How long a call waits for the earlier turns of its branch.
  duration turn_gap_timeout = 10s;
  // How long a call in doubt waits for a late settlement or a lookup result
  // before the caller is told that it is in doubt.
  duration in_doubt_timeout = 3s;
  // Time after which an answer is sent to the caller even if the witness has
  // not recorded its settlement.
  duration settlement_timeout = 10s;
  // Time after which a call is refused because the witness has not recorded its
  // intent. Also the time-out for opening a program.
  duration intent_timeout = 20s;
  // Time without an acknowledgement after which the owner proposes to replace
  // the witness. A closed epoch without a decision gets a new proposal after
  // the same time.
  duration witness_timeout = 2s;
  // Interval in which an unconfirmed release of engine memory is repeated.
  duration release_period = 1s;
  // Time after which a program that no VM knows is taken to have lost all its
  // copies.
  duration orphan_timeout = 60s;
  // How long a replaced owner keeps reporting the results of its attempts.
  duration report_timeout = 60s;
  // Interval in which a witness asks the owner about a program that should have
  // ended.
  duration audit_period = 60s;
  // Time without a call after which a program ends.
  duration idle_limit = 600s;
  // Upper bound of the time limit that a caller may set for a program.
  duration time_limit = 28800s;
  // How long votes and references are kept for programs without a copy here.
  duration vote_retention = 32400s;
  // Limit on program copies at this VM that stops it from opening programs.
  std::size_t max_programs = 200000;
  // Limits per program: branches, calls, and calls that wait for their turn.
  std::size_t max_branches = 64;
  std::int64_t max_calls = 4096;
  std::size_t max_waiting_calls = 16;
  // Limit on pending requests of local callers.
  std::size_t max_waiting_requests = 65536;
  // Limit on votes and references together.
  std::size_t max_references = 2000000;
  // A call that fails this often is refused permanently, also when it is sent
  // again, because it may be what crashes the endpoints.
  std::size_t max_attempts_per_call = 4;
  // Limit on the text of a streamed answer. A longer stream is refused as lost,
  // and its attempt cancelled.
  std::size_t max_stream_bytes = std::size_t{4} * 1024 * 1024;
  protocol_mutations mutations;
};

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_PROGRAM_OPTIONS_H_
