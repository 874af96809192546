// The tables of a program system. Internal to the library: the systems in the
// other files run over them.
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

// Where an accepted call stands at the owner.
enum class live_phase : std::uint8_t {
  kWaitingForTurn,
  kWaitingForEndpoint,
  kRecordingIntent,
  kRunning,
  kRecordingWithdrawal,
  kRecordingSettlement,
  kAskingService,
};

// An entry VM that waits for a call's answer.
struct call_waiter {
  vm_ref origin;
  request_id request = 0;
  // Bytes of answer text sent to it so far.
  std::uint64_t offset = 0;
  // The last bytes before the offset at the time that it joined.
  payload known;
  std::uint64_t known_end = 0;
};

// A call that the owner works on.
struct live_call {
  call_request request;
  live_phase phase = live_phase::kWaitingForTurn;
  std::vector<call_waiter> waiters;
  attempt_number attempt = 0;
  std::size_t attempts = 0;
  endpoint_id endpoint;
  std::set<endpoint_id> excluded;
  bool has_slot = false;
  bool is_resuming = false;
  // A fresh attempt has replaced one whose text some caller may have.
  bool is_rerun = false;
  // The call is to be made again after the withdrawal is recorded.
  bool makes_retry = false;
  std::string text;
  std::uint64_t sequence = 0;
  instant deadline{};
  std::optional<call_answer> answer;
  problem refusal;
};

using live_key = std::pair<branch_id, turn_number>;

// A request other than a call that waits for an update to be recorded.
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
  // An owner may act once the witness has the state.
  bool is_active = false;
  // This member has promised a ballot: nothing more is recorded in the epoch.
  bool is_closed = false;
  // Witness: the state is that of the last epoch, the owner's is to come.
  bool is_provisional = false;
  instant opened{};
  instant last_activity{};
  instant armed = instant::max();
  instant audited{};
  // Owner: updates that the witness has not acknowledged. Witness: the last
  // sequence that is recorded.
  std::uint64_t sequence = 0;
  std::uint64_t acknowledged = 0;
  std::deque<record_update> outbox;
  // Witness: updates that arrived before one with a lower sequence.
  std::map<std::uint64_t, state_update> early;
  instant outbox_since{};
  instant next_resend{};
  instant inactive_since{};
  instant closed_since{};
  // The member that installed the state here and waits for the answer.
  vm_ref installer;
  std::map<live_key, live_call> live;
  std::vector<pending_control> controls;
  std::optional<request_id> open_request;
  bool is_releasing = false;
};

// What a member has promised and accepted for an epoch of a program.
struct vote_record {
  epoch_number epoch = 0;
  ballot promised;
  ballot accepted_number;
  replica_set accepted;
  instant touched{};
};

enum class change_phase : std::uint8_t { kPreparing, kAccepting };

// A change of the set that this VM proposes.
struct change_record {
  replica_set current;
  replica_set wish;
  replica_set value;
  ballot value_number;
  ballot number;
  // Highest round seen; the next ballot goes above it.
  std::uint32_t highest_round = 0;
  change_phase phase = change_phase::kPreparing;
  std::set<vm_ref> agreed;
  instant next_resend{};
  instant next_ballot{};
};

// A state on its way to a new owner elsewhere.
struct transfer_record {
  replica_set replicas;
  program_state state;
  instant next_resend{};
};

// The newest set known of a program whose state is elsewhere.
struct reference_record {
  replica_set replicas;
  instant touched{};
};

// A session at an engine whose program nobody here knows.
struct orphan_record {
  instant since{};
  instant asked{};
};

// An attempt of an earlier epoch, running here or waiting to be reported.
struct retired_attempt {
  attempt_ref attempt;
  endpoint_id endpoint;
  call_kind kind = call_kind::kChat;
  std::size_t history_size = 0;
  digest history;
  bool has_slot = false;
  bool is_stream = false;
  bool is_reported = false;
  std::optional<state_update> update;
  std::string text;
  instant since{};
};

enum class entry_kind : std::uint8_t { kCall, kControl };

// A local request on its way to the owner.
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
  bool has_head = false;
  vm_ref target;
  std::set<vm_ref> tried;
  std::string delivered;
  std::uint64_t offset = 0;
  instant arrived{};
  instant heard{};
  instant next_resend{};
  // Neither an acceptance nor an answer since then.
  instant silent_since{};
  std::size_t unknown_replies = 0;
  std::size_t rounds = 0;
};

// A release that waits for an engine's confirmation.
struct release_key {
  endpoint_id endpoint;
  program_id program;

  auto operator<=>(const release_key&) const = default;
};

struct program_timer {
  program_id program;
  auto operator<=>(const program_timer&) const = default;
};
struct change_timer {
  program_id program;
  auto operator<=>(const change_timer&) const = default;
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
                                  change_timer,
                                  transfer_timer,
                                  entry_timer,
                                  retired_timer,
                                  release_timer>;
using timer = std::pair<instant, timer_target>;

// All state of one program system.
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
  std::vector<command> out;
  std::deque<message> loopback;
  std::unordered_map<program_id, program_copy> copies;
  std::unordered_map<program_id, vote_record> votes;
  std::unordered_map<program_id, change_record> changes;
  std::unordered_map<program_id, transfer_record> transfers;
  std::unordered_map<program_id, reference_record> references;
  std::map<attempt_ref, retired_attempt> retired;
  std::map<request_id, entry_request> requests;
  std::set<std::pair<program_id, request_id>> requests_by_program;
  std::map<release_key, instant> releases;
  std::map<release_key, orphan_record> orphans;
  std::priority_queue<timer, std::vector<timer>, std::greater<>> timers;
  std::deque<program_id> unchecked;
  instant next_sweep{};
  bool is_shutting_down = false;
  std::uint64_t takeovers = 0;
  std::uint64_t changes_decided = 0;
  std::uint64_t handovers = 0;
  std::uint64_t lost_programs = 0;
};

// Emits a message; one to this VM itself is handled within the same event.
auto Send(system_tables& tables, const vm_ref& to, message body) -> void;

// Runs a timer at or after an instant.
auto Arm(system_tables& tables, instant at, timer_target target) -> void;

// Makes sure that a copy is checked at an instant or before.
auto ArmCopy(system_tables& tables, program_copy& copy, instant at) -> void;

// The copy of a program, or null.
auto FindCopy(system_tables& tables, const program_id& program)
    -> program_copy*;

// The copy of a program if this VM is its owner, or null.
auto FindOwned(system_tables& tables, const program_id& program)
    -> program_copy*;

// The newest set known here; epoch 0 when none is.
auto KnownSet(system_tables& tables, const program_id& program) -> replica_set;

// Notes a set of a program if it is the newest.
auto NoteReference(system_tables& tables,
                   const program_id& program,
                   const replica_set& replicas) -> void;

// The handle of a copy.
auto HandleOf(const program_copy& copy) -> program_handle;

// The public state of a copy.
auto ViewOf(const system_tables& tables, const program_copy& copy)
    -> program_view;

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_TABLES_H_
