// Value types of programs: replica sets, handles, calls, budgets, outcomes. A
// program is a group of calls to models and services under one budget.
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

// The bytes of a request or an answer, shared to avoid copies.
using payload = std::shared_ptr<const std::string>;

auto MakePayload(std::string bytes) -> payload;

// The bytes of a payload; empty for a null payload.
auto BytesOf(const payload& bytes) -> std::string_view;

// Number of a replica set. Starts at 1 and grows by one with each new replica
// set of a program.
using epoch_number = std::uint64_t;

// Position of a call in its branch, starting at 1.
using turn_number = std::uint32_t;

// Number of an attempt within its program. Each epoch has its own range,
// because a new owner does not know which numbers the replaced owner has used.
using attempt_number = std::uint64_t;

// The number just below the first attempt number of an epoch.
auto AttemptBase(epoch_number epoch) -> attempt_number;

// Identifies a request of a local caller. Unique within one run of the process.
using request_id = std::uint64_t;

// The VMs that replicate a program in one epoch. Witness and arbiter are empty
// when there are too few VMs.
struct replica_set {
  epoch_number epoch = 0;
  vm_ref owner;
  vm_ref witness;
  vm_ref arbiter;

  auto operator<=>(const replica_set&) const = default;
};

// The members of a set that are not empty.
auto MembersOf(const replica_set& set) -> std::vector<vm_ref>;

// Number of present members that form a majority.
auto MajorityOf(const replica_set& set) -> std::size_t;

// True when an incarnation of a VM is a member of the set.
auto IsMember(const replica_set& set, const vm_ref& vm) -> bool;

// Identifies a program and the members that serve it. Callers get an up-to-date
// handle with each answer and send it with the next request.
struct program_handle {
  program_id program;
  replica_set replicas;

  auto operator<=>(const program_handle&) const = default;
};

// Renders the text form of a handle, as described in docs/INTERFACES.md.
auto ToString(const program_handle& handle) -> std::string;

// Parses the text form of a handle. Returns nothing for invalid text.
auto ParseHandle(std::string_view text) -> std::optional<program_handle>;

// The kind of endpoint that a call needs.
enum class call_kind : std::uint8_t { kChat, kService };

// The limits of a program, or its usage.
struct budget {
  std::int64_t tokens = 0;
  std::int64_t calls = 0;
  duration time{};

  auto operator<=>(const budget&) const = default;
};

// What is known about the execution of a refused request; see
// docs/INTERFACES.md.
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
  // The turn has been used for a call with another body.
  kTurnConflict,
  // The messages do not extend the history of the branch.
  kHistoryMismatch,
  kKeyMissing,
  // The idempotency key has been used for a call with another body.
  kKeyReused,
  kBudgetExceeded,
  // A limit on programs, branches or references is reached.
  kMemoryBound,
  kNoEndpoint,
  kEndpointRefused,
  kEndpointFailed,
  kOwnerUnreachable,
  kWitnessUnreachable,
  kInDoubt,
  // The previous turn is in doubt; the call may be sent again.
  kPreviousInDoubt,
  // The call has run, but its answer is no longer kept.
  kAnswerNotKept,
  kStreamLost,
  kShuttingDown,
  kOverloaded,
  kRateLimited,
  kQuarantined,
};

// The HTTP status code for a reason.
auto StatusOf(refusal_reason reason) -> int;

// The public name of a reason, such as "budget_exceeded".
auto NameOf(refusal_reason reason) -> std::string_view;

// The public name of an outcome, such as "not_run".
auto NameOf(outcome value) -> std::string_view;

// The refusal of a request. `retry_after` is zero when there is no advice.
struct problem {
  outcome result = outcome::kUnknown;
  refusal_reason reason = refusal_reason::kBadRequest;
  std::string detail;
  duration retry_after{};

  auto operator<=>(const problem&) const = default;
};

// A call as the caller made it. For chat calls, `history` holds a hash chain
// over the messages: history[i] = Extend(history[i-1], MessageText(...)).
struct call_request {
  branch_id branch{"main"};
  turn_number turn = 0;
  call_kind kind = call_kind::kChat;
  // Model of a chat call, or name of the service.
  std::string target;
  adapter_id adapter;
  // Idempotency key; required when the call is not idempotent.
  std::string key;
  bool is_idempotent = false;
  // The service supports a lookup by key of whether a call has run.
  bool has_lookup = false;
  bool is_stream = false;
  // Number of bytes of answer text that the caller already has.
  std::uint64_t offset = 0;
  digest body_digest;
  std::vector<digest> history;
  std::int64_t prompt_tokens = 0;
  std::int64_t max_tokens = 0;
  // Hashes of the prompt's cache blocks, passed on to routing.
  std::vector<digest> prefix_blocks;
  // Path of a service call.
  std::string path;
  std::string content_type;
  payload body;
};

// The canonical text of one message, as hashed into the history.
auto MessageText(std::string_view role, std::string_view content)
    -> std::string;

// The most that a call may use of the budget.
auto WorstCaseOf(const call_request& request) -> budget;

// The complete answer to a call. The body of a streamed answer is its text.
struct call_answer {
  int status = 0;
  std::string content_type;
  payload body;
  std::int64_t prompt_tokens = 0;
  std::int64_t answer_tokens = 0;
  // Prompt tokens that the engine took from its cache.
  std::int64_t cached_tokens = 0;
};

// Identifies a call of a program.
struct call_ref {
  program_id program;
  branch_id branch;
  turn_number turn = 0;

  auto operator<=>(const call_ref&) const = default;
};

// Identifies one attempt of a call.
struct attempt_ref {
  call_ref call;
  attempt_number number = 0;

  auto operator<=>(const attempt_ref&) const = default;
};

// The request identifier of an attempt at its endpoint.
auto ToString(const attempt_ref& attempt) -> std::string;

// How an attempt ended.
enum class attempt_result : std::uint8_t {
  // The complete answer of the endpoint has arrived.
  kAnswered,
  // Certain: no byte was sent to the endpoint.
  kNotSent,
  // Certain: the endpoint refused the attempt before running it.
  kRefusedNotRun,
  // The endpoint does not know the attempt to resume; a new one may be made.
  kNotFound,
  // Any other result: the endpoint may have run the attempt.
  kUnknown,
};

// A live VM and its location.
struct member {
  vm_ref vm;
  failure_domain_id failure_domain;
  region_id region;
  // The VM shuts down gracefully: it still serves its programs, but takes no
  // new role in one.
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
  // Reserved for calls that are running or in doubt.
  budget reserved;
  std::vector<branch_view> branches;
  bool is_ended = false;

  auto operator<=>(const program_view&) const = default;
};

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_TYPES_H_
