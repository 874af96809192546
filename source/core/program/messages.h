// Messages between the VMs of the system. Every message may be lost, delayed,
// repeated or reordered.
#ifndef DAISYWIND_PROGRAM_MESSAGES_H_
#define DAISYWIND_PROGRAM_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "program/program_state.h"
#include "program/types.h"

namespace daisywind::program {

// A request other than a call.
enum class control_action : std::uint8_t { kStart, kJoin, kEnd, kQuery };

// Entry to owner: a call. `delivered` is the answer text that the entry has
// passed on, up to the call's offset.
struct forward_call {
  request_id request = 0;
  program_handle handle;
  organisation_id organisation;
  call_request call;
  payload delivered;
  // The sender has tried the owner and got no reply.
  bool is_owner_silent = false;
};

// Entry to owner: a request other than a call.
struct forward_control {
  request_id request = 0;
  program_handle handle;
  organisation_id organisation;
  control_action action = control_action::kQuery;
  branch_id branch;
  branch_id parent;
  bool is_owner_silent = false;
};

// Owner to entry: the request is known and its answer will come.
struct forward_accepted {
  request_id request = 0;
  replica_set replicas;
};

// Entry to owner: asks for what is missing of an accepted call's answer.
struct forward_poll {
  request_id request = 0;
  call_ref call;
  std::uint64_t offset = 0;
};

// To the entry: the sender is not the owner, but knows a set. The set has
// epoch 0 when the sender does not know the program.
struct forward_redirect {
  request_id request = 0;
  program_id program;
  replica_set replicas;
};

// Entry to owner: the caller no longer waits.
struct forward_cancel {
  request_id request = 0;
  call_ref call;
};

// Owner to entry: bytes of a streamed answer text, from an offset.
struct call_part {
  request_id request = 0;
  replica_set replicas;
  std::uint64_t offset = 0;
  payload bytes;
};

// Epoch of a program that is over.
inline constexpr epoch_number kOverEpoch = UINT64_MAX;

// Owner to entry: the whole answer, or the end of a stream whose rest is lost.
struct call_end {
  request_id request = 0;
  replica_set replicas;
  call_answer answer;
  // Length of the answer text of a stream, whose body is not repeated here.
  std::uint64_t text_bytes = 0;
  bool is_lost = false;
};

// Owner to entry: the request is refused.
struct call_problem {
  request_id request = 0;
  replica_set replicas;
  problem refusal;
};

// Owner to entry: a request other than a call is done.
struct control_reply {
  request_id request = 0;
  program_view view;
};

// Entry to owner: the caller has been told that a call is in doubt.
struct in_doubt_delivered {
  call_ref call;
};

// Owner to witness: updates in sequence, from 1 in each epoch.
struct record_update {
  program_id program;
  epoch_number epoch = 0;
  std::uint64_t sequence = 0;
  state_update update;
};

// Witness to owner: all updates up to the sequence are recorded.
struct record_ack {
  program_id program;
  epoch_number epoch = 0;
  std::uint64_t sequence = 0;
};

// Number of a proposal within an epoch: higher rounds win.
struct ballot {
  std::uint32_t round = 0;
  vm_ref proposer;

  auto operator<=>(const ballot&) const = default;
};

// Proposer to the members of an epoch: close the epoch for lower ballots.
struct prepare {
  program_id program;
  replica_set current;
  ballot number;
};

// Member to proposer: the epoch is closed, with what was accepted before.
struct promise {
  program_id program;
  epoch_number epoch = 0;
  ballot number;
  ballot accepted_number;
  replica_set accepted;
};

// Proposer to the members: accept the next set.
struct accept {
  program_id program;
  replica_set current;
  ballot number;
  replica_set next;
};

// Member to proposer: the next set is accepted.
struct accepted {
  program_id program;
  epoch_number epoch = 0;
  ballot number;
};

// Member to proposer: a higher ballot has been promised, or the member already
// knows a later set (`known`, epoch 0 when it does not).
struct ballot_refused {
  program_id program;
  epoch_number epoch = 0;
  ballot promised;
  replica_set known;
};

// Hands a decided set and a copy of the state to its owner or witness.
struct install {
  replica_set replicas;
  program_state state;
};

// The copy is installed; an owner answers once it may act.
struct install_ack {
  program_id program;
  epoch_number epoch = 0;
};

// A replaced owner to the new owner: the end of an attempt of an earlier epoch.
struct late_settlement {
  program_id program;
  attempt_number attempt = 0;
  // Absent when the end of the attempt is not known.
  std::optional<state_update> update;
  endpoint_id endpoint;
  bool holds_memory = false;
};

// The late settlement has been taken in. When the program is gone, the sender
// releases the engine memory of the attempt itself.
struct late_settlement_ack {
  program_id program;
  attempt_number attempt = 0;
  bool is_gone = false;
};

// Asks which set of a program the receiver knows.
struct locate {
  request_id request = 0;
  program_id program;
};

// The newest set that the sender knows; epoch 0 when it knows none.
struct locate_reply {
  request_id request = 0;
  program_id program;
  replica_set replicas;
};

// Owner to the other members: the program is over; drop all that is kept.
struct discard {
  program_id program;
  epoch_number epoch = 0;
};

using message = std::variant<forward_call,
                             forward_control,
                             forward_accepted,
                             forward_poll,
                             forward_redirect,
                             forward_cancel,
                             call_part,
                             call_end,
                             call_problem,
                             control_reply,
                             in_doubt_delivered,
                             record_update,
                             record_ack,
                             prepare,
                             promise,
                             accept,
                             accepted,
                             ballot_refused,
                             install,
                             install_ack,
                             late_settlement,
                             late_settlement_ack,
                             locate,
                             locate_reply,
                             discard>;

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_MESSAGES_H_
