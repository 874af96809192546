// The data of a program system, on which the functions of the other files work.
// Internal to the library.
#ifndef DAISYWIND_PROGRAM_TABLES_H_
#define DAISYWIND_PROGRAM_TABLES_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "common/random.h"
#include "common/time.h"
#include "program/commands.h"
#include "program/events.h"
#include "program/placement.h"
#include "program/program_options.h"
#include "program/program_state.h"
#include "program/program_system.h"

namespace daisywind::program {

// Phase of a live call at the owner.
enum class live_phase : std::uint8_t {
  kWaitingForTurn,
  kWaitingForEndpoint,
  kRecordingIntent,
  kRunning,
  kRecordingWithdrawal,
  kRecordingSettlement,
  kWaitingInDoubt,
};

// An entry VM that waits for a call's answer.
struct call_waiter {
  vm_ref origin;
  request_id request = 0;
  // Bytes of answer text sent to it so far.
  std::uint64_t offset = 0;
  // Text, ending at byte `known_end`, that it had received when it started to
  // wait or when the last new attempt began. May be only the end of that text.
  payload known_text;
  std::uint64_t known_end = 0;
};

// A live call: one that the owner works on.
struct live_call {
  call_request request;
  live_phase phase = live_phase::kWaitingForTurn;
  std::vector<call_waiter> waiters;
  // The latest attempt, and the number of attempts made so far.
  attempt_number attempt = 0;
  std::size_t attempts = 0;
  endpoint_id endpoint;
  // Endpoints that the next attempt must avoid.
  std::set<endpoint_id> excluded;
  bool has_slot = false;
  bool is_resuming = false;
  // A new attempt has replaced an earlier one, of whose text callers may have
  // received a part.
  bool is_rerun = false;
  // A new attempt follows once the withdrawal is recorded.
  bool will_retry = false;
  // Text of a streamed answer received so far.
  std::string text;
  // Sequence number of the update that the call waits for.
  std::uint64_t sequence = 0;
  // End of the current wait.
  instant deadline{};
  // The answer to send once the settlement is recorded.
  std::optional<call_answer> answer;
  // The refusal to send once the withdrawal is recorded, unless a new attempt
  // follows.
  problem refusal;
};

// Branch and turn of a live call.
using live_key = std::pair<branch_id, turn_number>;

// A request other than a call that is answered once the update with `sequence`
// is recorded.
struct pending_control {
  vm_ref origin;
  request_id request = 0;
  std::uint64_t sequence = 0;
};

enum class copy_role : std::uint8_t { kOwner, kWitness };

// A copy of a program's state at its owner or witness.
struct program_copy {
  replica_set replicas;
  program_state state;
  copy_role role = copy_role::kOwner;
  // An owner becomes active once the witness has installed the state.
  bool is_active = false;
  // This member has promised a ballot, so it records no more updates in this
  // epoch.
  bool is_closed = false;
  // Witness: the state is from the previous epoch until the owner sends its
  // own.
  bool is_provisional = false;
  instant opened{};
  instant last_activity{};
  // Time of the earliest scheduled check.
  instant armed = instant::max();
  // Witness: time when it last asked the owner about an overdue program.
  instant audited{};
  // Sequence number of the last update: appended at the owner, applied at the
  // witness.
  std::uint64_t sequence = 0;
  // Owner: last sequence number that the witness has acknowledged, and the
  // updates after it.
  std::uint64_t acknowledged = 0;
  std::deque<record_update> outbox;
  // Witness: updates that arrived before one with a lower sequence number.
  std::map<std::uint64_t, state_update> out_of_order;
  // Owner: since when the witness has acknowledged none of the updates in the
  // outbox.
  instant outbox_since{};
  instant next_resend{};
  instant inactive_since{};
  instant closed_since{};
  // The VM that sent the state and waits for the acknowledgement; may be empty.
  vm_ref installer;
  // Owner: live calls, and requests that wait for an update to be recorded.
  std::map<live_key, live_call> live;
  std::vector<pending_control> controls;
  // The local request that opened the program, until it is answered.
  std::optional<request_id> open_request;
  // The program has ended, and its engine memory is being released.
  bool is_releasing = false;
};

// Paxos acceptor state of this VM for an epoch of a program.
struct vote_record {
  epoch_number epoch = 0;
  ballot promised;
  ballot accepted_number;
  replica_set accepted;
  instant last_updated{};
};

enum class ballot_phase : std::uint8_t { kPreparing, kAccepting };

// Paxos proposer state for a replica set that this VM proposes.
struct reconfiguration_record {
  // The replica set whose members vote.
  replica_set current;
  replica_set proposed;
  // The set to be accepted: `proposed`, unless a member has accepted another
  // one, then with the ballot of that acceptance.
  replica_set value;
  ballot value_number;
  // The current ballot.
  ballot number;
  // Highest round seen. The next ballot takes a higher one.
  std::uint32_t highest_round = 0;
  ballot_phase phase = ballot_phase::kPreparing;
  // The members that have agreed in the current phase.
  std::set<vm_ref> agreed;
  instant next_resend{};
  instant next_ballot{};
};

// A program state that is being sent to a new owner at another VM.
struct transfer_record {
  replica_set replicas;
  program_state state;
  // Set once. The transfer is dropped when the report time-out has passed since
  // then.
  instant first_resend{};
};

// The newest known replica set of a program, also kept when no copy is here.
struct reference_record {
  replica_set replicas;
  instant last_updated{};
};

// Engine memory held for a program that this VM does not know.
struct orphan_record {
  instant since{};
  instant asked{};
};

// An attempt of an earlier epoch that still runs, or whose result is to be
// reported to the new owner.
struct retired_attempt {
  attempt_ref attempt;
  endpoint_id endpoint;
  call_kind kind = call_kind::kChat;
  // The request's history: number of messages, and last digest.
  std::size_t history_size = 0;
  digest history_digest;
  bool has_slot = false;
  bool is_stream = false;
  // The attempt has ended or was never sent, and the new owner has not
  // acknowledged the report of it.
  bool is_report_pending = false;
  // The settlement or withdrawal to report; absent when the result is not
  // known.
  std::optional<state_update> update;
  std::string text;
  // When the attempt was retired or ended, whichever was later.
  instant since{};
};

enum class entry_kind : std::uint8_t { kCall, kControl };

// A pending request of a local caller, to be forwarded to the owner.
struct entry_request {
  request_id request = 0;
  entry_kind kind = entry_kind::kCall;
  program_handle handle;
  organisation_id organisation;
  call_request call;
  control_action action = control_action::kQuery;
  branch_id branch;
  branch_id parent;
  // The program was opened for this call alone.
  bool is_single_call = false;
  bool is_forwarded = false;
  bool is_accepted = false;
  bool is_owner_silent = false;
  // The head of a streamed reply has been sent to the caller.
  bool has_head = false;
  // The member that the request was last forwarded to; empty while the program
  // is being opened.
  vm_ref target;
  // The members tried in this round.
  std::set<vm_ref> tried;
  // Answer text sent to the caller, and its end in bytes from the start of the
  // whole text.
  std::string delivered;
  std::uint64_t offset = 0;
  instant arrived{};
  // When the current target was chosen or last replied.
  instant last_heard{};
  instant next_resend{};
  // Time of the last acceptance or answer text, or of the arrival.
  instant silent_since{};
  // Members that do not know the program in this round, and finished rounds.
  std::size_t unknown_replies = 0;
  std::size_t rounds = 0;
};

// Names the memory that an engine holds for a program.
struct release_key {
  endpoint_id endpoint;
  program_id program;

  auto operator<=>(const release_key&) const = default;
};

// Timers. Each names what its handler checks.
struct program_timer {
  program_id program;
  auto operator<=>(const program_timer&) const = default;
};
struct reconfiguration_timer {
  program_id program;
  auto operator<=>(const reconfiguration_timer&) const = default;
};
struct transfer_timer {
  program_id program;
  auto operator<=>(const transfer_timer&) const = default;
};
struct entry_timer {
  request_id request = 0;
  auto operator<=>(const entry_timer&) const = default;
};
struct retired_timer {
  attempt_ref attempt;
  auto operator<=>(const retired_timer&) const = default;
};
struct release_timer {
  release_key key;
  auto operator<=>(const release_timer&) const = default;
};

using timer_target = std::variant<program_timer,
                                  reconfiguration_timer,
                                  transfer_timer,
                                  entry_timer,
                                  retired_timer,
                                  release_timer>;
using timer = std::pair<instant, timer_target>;

// All data of one program system.
struct system_tables {
  system_tables(const program_options& settings,
                const vm_ref& own,
                std::uint64_t seed)
      : options(settings), self(own), random(seed) {}

  program_options options;
  vm_ref self;
  random_source random;
  instant now{};
  member_table members;
  // Commands to return, and messages from this VM to itself.
  std::vector<command> out;
  std::deque<message> loopback;
  std::unordered_map<program_id, program_copy> copies;
  std::unordered_map<program_id, vote_record> votes;
  std::unordered_map<program_id, reconfiguration_record> reconfigurations;
  std::unordered_map<program_id, transfer_record> transfers;
  std::unordered_map<program_id, reference_record> references;
  std::map<attempt_ref, retired_attempt> retired;
  std::map<request_id, entry_request> requests;
  // Index of the requests by program.
  std::set<std::pair<program_id, request_id>> requests_by_program;
  // Unconfirmed releases of engine memory, with their start.
  std::map<release_key, instant> releases;
  std::map<release_key, orphan_record> orphans;
  std::priority_queue<timer, std::vector<timer>, std::greater<>> timers;
  // Programs to check in the next ticks.
  std::deque<program_id> check_queue;
  instant next_sweep{};
  bool is_shutting_down = false;
  std::uint64_t takeovers = 0;
  std::uint64_t reconfigurations_decided = 0;
  std::uint64_t handovers = 0;
  std::uint64_t lost_programs = 0;
};

// Emits a message. A message to this VM itself is queued and handled within the
// same event or tick; one to an empty reference is dropped.
auto Send(system_tables& tables, const vm_ref& to, message body) -> void;

// Schedules a timer. It runs in the first tick at or after `at`.
auto Arm(system_tables& tables, instant at, timer_target target) -> void;

// Schedules a check of a copy at `at`, unless an earlier one is scheduled.
auto ArmCopy(system_tables& tables, program_copy& copy, instant at) -> void;

// Finds the copy of a program; null if there is none.
auto FindCopy(system_tables& tables, const program_id& program)
    -> program_copy*;

// Finds the copy of a program that this VM owns; null if there is none.
auto FindOwned(system_tables& tables, const program_id& program)
    -> program_copy*;

// The newest known replica set of a program; epoch 0 if none is known.
auto KnownSet(system_tables& tables, const program_id& program) -> replica_set;

// Stores a replica set of a program if it is the newest one.
auto StoreReference(system_tables& tables,
                    const program_id& program,
                    const replica_set& replicas) -> void;

auto HandleOf(const program_copy& copy) -> program_handle;

// The view of a program that is returned to callers.
auto ViewOf(const system_tables& tables, const program_copy& copy)
    -> program_view;

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_TABLES_H_
