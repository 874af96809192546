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

// Where a recorded call stands.
enum class call_phase : std::uint8_t {
  // An intent is recorded; the endpoint may have run it.
  kIntended,
  // The endpoint's answer is recorded.
  kSettled,
  // It is proved that no attempt ran and none will.
  kWithdrawn,
};

// A recorded call.
struct call_record {
  turn_number turn = 0;
  attempt_number attempt = 0;
  // Attempts made so far, over all owners.
  std::uint32_t attempts = 0;
  call_kind kind = call_kind::kChat;
  call_phase phase = call_phase::kIntended;
  bool is_idempotent = false;
  bool has_lookup = false;
  // A fresh attempt has replaced one whose text some caller may have.
  bool is_rerun = false;
  // The caller knows that the call is in doubt, so the next turn may run.
  bool is_doubt_told = false;
  digest key;
  digest body;
  std::string target;
  endpoint_id endpoint;
  budget reserved;
  std::uint32_t message_count = 0;
  digest history;
  // Kept within bounds; absent when it was too large or has been evicted.
  std::optional<call_answer> answer;
};

// A branch: the calls of one agent, in turns.
struct branch_record {
  branch_id name;
  branch_id parent;
  turn_number last_turn = 0;
  std::uint32_t message_count = 0;
  digest history;
  bool is_joined = false;
  std::map<turn_number, call_record> calls;
};

// All that the owner and the witness both keep of a program.
struct program_state {
  program_id id;
  organisation_id organisation;
  class_id service_class;
  budget limits;
  budget used;
  // Age at the time that the state was copied.
  duration age{};
  attempt_number last_attempt = 0;
  bool is_ended = false;
  std::map<branch_id, branch_record> branches;
  // Endpoints that may hold engine memory for the program.
  std::set<endpoint_id> holders;
};

// Starts a branch.
struct branch_started {
  branch_id name;
  branch_id parent;
};

// Ends a branch.
struct branch_joined {
  branch_id name;
};

// States that an attempt is about to be sent.
struct intent {
  branch_id branch;
  call_record call;
};

// States that the attempt did not run and never will.
struct withdrawal {
  branch_id branch;
  turn_number turn = 0;
  attempt_number attempt = 0;
};

// States how an attempt ended.
struct settlement {
  branch_id branch;
  turn_number turn = 0;
  attempt_number attempt = 0;
  budget used;
  std::uint32_t message_count = 0;
  digest history;
  std::optional<call_answer> answer;
};

// States that the caller has been told that a call is in doubt.
struct in_doubt_reported {
  branch_id branch;
  turn_number turn = 0;
};

// Ends the program.
struct program_ended {};

// States that an endpoint no longer holds memory for the program.
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

// Bounds of a program's state.
struct state_bounds {
  std::size_t answer_bytes = std::size_t{64} * 1024;
  std::size_t answers_bytes = std::size_t{256} * 1024;
};

// Applies one update. Updates that no longer fit the state change nothing.
auto Apply(const state_update& update,
           const state_bounds& bounds,
           program_state& state) -> void;

// Sum of the reservations that are neither settled nor withdrawn.
auto ReservedOf(const program_state& state) -> budget;

// The branch, or null.
auto FindBranch(program_state& state, const branch_id& name) -> branch_record*;
auto FindBranch(const program_state& state, const branch_id& name)
    -> const branch_record*;

// The recorded call, or null.
auto FindCall(program_state& state, const branch_id& branch, turn_number turn)
    -> call_record*;
auto FindCall(const program_state& state,
              const branch_id& branch,
              turn_number turn) -> const call_record*;

// The recorded call under an idempotency key with its branch, or nothing.
struct keyed_call {
  branch_id branch;
  turn_number turn = 0;

  auto operator<=>(const keyed_call&) const = default;
};
auto FindByKey(const program_state& state, const digest& key)
    -> std::optional<keyed_call>;

// Endpoint of the branch's last chat call; empty when there is none.
auto LastEndpointOf(const program_state& state, const branch_id& name)
    -> endpoint_id;

// An estimate of the memory that a state takes.
auto MemoryOf(const program_state& state) -> std::size_t;

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_PROGRAM_STATE_H_
