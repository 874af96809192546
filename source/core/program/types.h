// Value types of programs: replica sets, handles, calls, budgets, outcomes.
#ifndef DAISYWIND_PROGRAM_TYPES_H_
#define DAISYWIND_PROGRAM_TYPES_H_

#include <array>
#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/digest.h"
#include "common/ids.h"
#include "common/time.h"

namespace daisywind::program {

// The bytes of a request or an answer, shared between tables and messages.
using payload = std::shared_ptr<const std::string>;

// Wraps bytes as a payload.
auto MakePayload(std::string bytes) -> payload;

// The bytes of a payload; empty when there is none.
auto BytesOf(const payload& bytes) -> std::string_view;

// Number of a replica set. The first set of a program has epoch 1.
using epoch_number = std::uint64_t;

// Position of a call in its branch, from 1.
using turn_number = std::uint32_t;

// Number of an attempt within its program. Each epoch has a range of its own:
// an owner does not know which numbers a replaced one has used.
using attempt_number = std::uint64_t;

// The number below the first attempt of an epoch.
auto AttemptBase(epoch_number epoch) -> attempt_number;

// Names a request of a local adapter. Unique within one run of the process.
using request_id = std::uint64_t;

// The VMs that decide about a program in one epoch. A member may be absent
// when there are too few VMs.
struct replica_set {
  epoch_number epoch = 0;
  vm_ref owner;
  vm_ref witness;
  vm_ref arbiter;

  auto operator<=>(const replica_set&) const = default;
};

// Members of a set that are present.
auto MembersOf(const replica_set& set) -> std::vector<vm_ref>;

// Number of members whose agreement decides the next set.
auto MajorityOf(const replica_set& set) -> std::size_t;

// Tells whether a run of a VM is a member of the set.
auto IsMember(const replica_set& set, const vm_ref& vm) -> bool;

// What a caller carries from answer to answer.
struct program_handle {
  program_id program;
  replica_set replicas;

  auto operator<=>(const program_handle&) const = default;
};

// Renders a handle as in docs/INTERFACES.md.
auto ToString(const program_handle& handle) -> std::string;

// Parses the text form of a handle. Returns nothing on any other text.
auto ParseHandle(std::string_view text) -> std::optional<program_handle>;

// The kind of endpoint that a call needs.
enum class call_kind : std::uint8_t { kChat, kService };

// Limits of a program, or what it has used of them.
struct budget {
  std::int64_t tokens = 0;
  std::int64_t calls = 0;
  duration time{};

  auto operator<=>(const budget&) const = default;
};

// What is known of a request that is refused, see docs/INTERFACES.md.
enum class outcome : std::uint8_t { kNotRun, kUnknown, kDone };

// Why a request is refused.
enum class refusal_reason : std::uint8_t {
  kBadRequest,
  kWrongOrganisation,
  kProgramNotFound,
  kProgramEnded,
  kProgramLost,
  kBranchNotFound,
  kBranchExists,
  kBranchEnded,
  kBranchBusy,
  kTurnOutOfOrder,
  kTurnGapTimedOut,
  kTurnConflict,
  kHistoryMismatch,
  kKeyMissing,
  kKeyReused,
  kBudgetExceeded,
  kMemoryBound,
  kNoEndpoint,
  kEndpointRefused,
  kEndpointFailed,
  kOwnerUnreachable,
  kWitnessUnreachable,
  kInDoubt,
  // The turn before is in doubt; the call may be sent again.
  kPreviousInDoubt,
  kAnswerNotKept,
  kStreamLost,
  kShuttingDown,
  kOverloaded,
  kRateLimited,
  kQuarantined,
};

// The HTTP status that fits a reason.
auto StatusOf(refusal_reason reason) -> int;

// The stable text of a reason, as in "budget_exceeded".
auto NameOf(refusal_reason reason) -> std::string_view;

// The stable text of an outcome, as in "not_run".
auto NameOf(outcome value) -> std::string_view;

// Refusal of a request.
struct problem {
  outcome result = outcome::kUnknown;
  refusal_reason reason = refusal_reason::kBadRequest;
  std::string detail;
  duration retry_after{};

  auto operator<=>(const problem&) const = default;
};

// A call as the caller made it. For chat calls `history` holds the chain digest
// after each message: history[i] = Extend(history[i-1], MessageText(...)).
struct call_request {
  branch_id branch{"main"};
  turn_number turn = 0;
  call_kind kind = call_kind::kChat;
  // Model of a chat call, or name of the service.
  std::string target;
  adapter_id adapter;
  // Idempotency key; needed when the call is not idempotent.
  std::string key;
  bool is_idempotent = false;
  // The service can be asked by key whether the call has run.
  bool has_lookup = false;
  bool is_stream = false;
  // Bytes of answer text that the caller already has.
  std::uint64_t offset = 0;
  digest body_digest;
  std::vector<digest> history;
  std::int64_t prompt_tokens = 0;
  std::int64_t max_tokens = 0;
  // Cache block names of the prompt, passed through to routing.
  std::vector<digest> prefix_blocks;
  // Path of a service call.
  std::string path;
  std::string content_type;
  payload body;
};

// The canonical text of one message for the history chain.
auto MessageText(std::string_view role, std::string_view content)
    -> std::string;

// The worst case that a call may use.
auto WorstCaseOf(const call_request& request) -> budget;

// The whole answer to a call. Streamed answers hold the answer text as body.
struct call_answer {
  int status = 0;
  std::string content_type;
  payload body;
  std::int64_t prompt_tokens = 0;
  std::int64_t answer_tokens = 0;
  // Prompt tokens that the engine had in its cache.
  std::int64_t cached_tokens = 0;
};

// Names a call of a program.
struct call_ref {
  program_id program;
  branch_id branch;
  turn_number turn = 0;

  auto operator<=>(const call_ref&) const = default;
};

// Names one attempt of a call.
struct attempt_ref {
  call_ref call;
  attempt_number number = 0;

  auto operator<=>(const attempt_ref&) const = default;
};

// The request id under which an endpoint knows an attempt.
auto ToString(const attempt_ref& attempt) -> std::string;

// How an attempt ended.
enum class attempt_result : std::uint8_t {
  // The endpoint's whole answer has arrived.
  kAnswered,
  // Proved: no byte left for the endpoint.
  kNotSent,
  // Proved: the endpoint refused before running it.
  kRefusedNotRun,
  // A resume found no such request; a fresh attempt may be made.
  kNotFound,
  // Anything else: the endpoint may have run it.
  kUnknown,
};

// A live VM and where it is.
struct member {
  vm_ref vm;
  failure_domain_id failure_domain;
  region_id region;
  // It still serves, but takes no new role in a program.
  bool is_leaving = false;

  auto operator<=>(const member&) const = default;
};

// Public state of one branch.
struct branch_view {
  branch_id name;
  branch_id parent;
  turn_number last_turn = 0;
  bool is_running = false;
  bool is_joined = false;

  auto operator<=>(const branch_view&) const = default;
};

// Public state of a program.
struct program_view {
  program_handle handle;
  organisation_id organisation;
  class_id service_class;
  budget limits;
  budget used;
  // Worst cases of calls that are running or in doubt.
  budget reserved;
  std::vector<branch_view> branches;
  bool is_ended = false;

  auto operator<=>(const program_view&) const = default;
};

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_TYPES_H_
