// The replicated state of a program and the updates that change it. The owner
// and the witness apply the same updates in the same order.
#ifndef DAISYWIND_PROGRAM_PROGRAM_STATE_H_
#define DAISYWIND_PROGRAM_PROGRAM_STATE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "program/types.h"

namespace daisywind::program {

// Phase of a recorded call's latest attempt.
enum class call_phase : std::uint8_t {
  // An intent is recorded; an endpoint may have run the call.
  kIntended,
  // The endpoint's answer is recorded.
  kSettled,
  // It is certain that the attempt did not run and will not.
  kWithdrawn,
};

// The record of a call: its latest attempt and, once settled, its result.
struct call_record {
  turn_number turn = 0;
  // Number of the latest attempt.
  attempt_number attempt = 0;
  // Attempts made so far, by all owners.
  std::uint32_t attempts = 0;
  call_kind kind = call_kind::kChat;
  call_phase phase = call_phase::kIntended;
  bool is_idempotent = false;
  // The service supports a lookup by key of whether a call has run.
  bool has_lookup = false;
  // A new attempt has replaced an earlier one, of whose text callers may have
  // received a part.
  bool is_rerun = false;
  // The caller has been told that the call is in doubt, so the next turn may
  // run.
  bool is_in_doubt_reported = false;
  // Digest of the idempotency key; digest{} when the request has none.
  digest key_digest;
  // Digest of the request body.
  digest request_body_digest;
  std::string target;
  endpoint_id endpoint;
  budget reserved;
  // Not set: the branch record holds the number of messages and the digest.
  std::uint32_t message_count = 0;
  digest history_digest;
  // Absent when it was larger than the limit or has been evicted.
  std::optional<call_answer> answer;
};

// A branch: the calls of one agent, which run one after another as turns.
struct branch_record {
  branch_id name;
  branch_id parent;
  turn_number last_turn = 0;
  // Number of messages, including the answer to the last settled chat call.
  std::uint32_t message_count = 0;
  // Last digest of the hash chain over the messages.
  digest history_digest;
  bool is_joined = false;
  std::map<turn_number, call_record> calls;
};

// The state of a program that is replicated at the owner and the witness.
struct program_state {
  program_id id;
  organisation_id organisation;
  class_id service_class;
  budget limits;
  budget used;
  // Age of the program when this state was copied to another VM.
  duration age{};
  attempt_number last_attempt = 0;
  bool is_ended = false;
  std::map<branch_id, branch_record> branches;
  // Endpoints that may hold engine memory for the program.
  std::set<endpoint_id> holders;
};

// Starts a branch. Only the main branch has no parent.
struct branch_started {
  branch_id name;
  branch_id parent;
};

// Ends a branch.
struct branch_joined {
  branch_id name;
};

// Records that an attempt is about to be sent.
struct intent {
  branch_id branch;
  call_record call;
};

// Records that an attempt did not run and never will.
struct withdrawal {
  branch_id branch;
  turn_number turn = 0;
  attempt_number attempt = 0;
};

// Records the result of an attempt: its usage, history and answer.
struct settlement {
  branch_id branch;
  turn_number turn = 0;
  attempt_number attempt = 0;
  budget used;
  // The history of the branch after the answer.
  std::uint32_t message_count = 0;
  digest history_digest;
  std::optional<call_answer> answer;
};

// Records that the caller has been told that a call is in doubt.
struct in_doubt_reported {
  branch_id branch;
  turn_number turn = 0;
};

// Ends the program.
struct program_ended {};

// Records that an endpoint no longer holds memory for the program.
struct holder_released {
  endpoint_id endpoint;
};

using state_update = std::variant<branch_started,
                                  branch_joined,
                                  intent,
                                  withdrawal,
                                  settlement,
                                  in_doubt_reported,
                                  program_ended,
                                  holder_released>;

// Limits in bytes on the answers that a program state keeps: on each one, and
// on all together.
struct state_bounds {
  std::size_t max_answer_bytes = std::size_t{64} * 1024;
  std::size_t max_total_answer_bytes = std::size_t{256} * 1024;
};

// Applies one update. An update that does not match the state, such as the
// settlement of a replaced attempt, has no effect.
auto Apply(const state_update& update,
           const state_bounds& bounds,
           program_state& state) -> void;

// Sum of the budget reservations that are neither settled nor withdrawn.
auto ReservedOf(const program_state& state) -> budget;

// Finds a branch; null if there is none.
auto FindBranch(program_state& state, const branch_id& name) -> branch_record*;
auto FindBranch(const program_state& state, const branch_id& name)
    -> const branch_record*;

// Finds the record of a call; null if there is none.
auto FindCall(program_state& state, const branch_id& branch, turn_number turn)
    -> call_record*;
auto FindCall(const program_state& state,
              const branch_id& branch,
              turn_number turn) -> const call_record*;

// Branch and turn of the call that has used an idempotency key.
struct keyed_call {
  branch_id branch;
  turn_number turn = 0;

  auto operator<=>(const keyed_call&) const = default;
};

// Finds the call whose idempotency key has this digest.
auto FindByKey(const program_state& state, const digest& key)
    -> std::optional<keyed_call>;

// Endpoint of the branch's last chat call; empty if there is none.
auto LastEndpointOf(const program_state& state, const branch_id& name)
    -> endpoint_id;

// Estimated memory use of a state in bytes.
auto MemoryOf(const program_state& state) -> std::size_t;

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_PROGRAM_STATE_H_
