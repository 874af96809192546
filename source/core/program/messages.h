// Messages between the program systems of different VMs. Any message may be
// lost, delayed, duplicated or reordered.
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

// Entry to owner: a call. `delivered` is the answer text that the entry VM has
// sent to the caller; it ends at the call's offset.
struct forward_call {
  request_id request = 0;
  program_handle handle;
  organisation_id organisation;
  call_request call;
  payload delivered;
  // The sender got no reply from the owner. A witness that receives this starts
  // a takeover.
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

// Owner to entry: the request has been accepted and will be answered.
struct forward_accepted {
  request_id request = 0;
  replica_set replicas;
};

// Entry to owner: requests the answer of an accepted call from `offset` on.
struct forward_poll {
  request_id request = 0;
  call_ref call;
  std::uint64_t offset = 0;
};

// To the entry: the sender does not handle the request, and `replicas` is the
// newest replica set that it knows (epoch 0: it does not know the program).
struct forward_redirect {
  request_id request = 0;
  program_id program;
  replica_set replicas;
};

// Entry to owner: the caller has disconnected.
struct forward_cancel {
  request_id request = 0;
  call_ref call;
};

// Owner to entry: a piece of a streamed answer. `offset` is in bytes from the
// start of the whole text.
struct call_part {
  request_id request = 0;
  replica_set replicas;
  std::uint64_t offset = 0;
  payload bytes;
};

// Epoch of the replica set that marks an ended program. Higher than any other.
inline constexpr epoch_number kEndedEpoch = UINT64_MAX;

// Owner to entry: the complete answer, or the end of a stream whose remaining
// text is lost.
struct call_end {
  request_id request = 0;
  replica_set replicas;
  call_answer answer;
  // Length in bytes of a streamed answer, whose text is sent as call_part and
  // not repeated in the body.
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

// Entry to owner: the caller has been informed that a call is in doubt.
struct in_doubt_delivered {
  call_ref call;
};

// Owner to witness: one state update. Sequence numbers start at 1 in each
// epoch.
struct record_update {
  program_id program;
  epoch_number epoch = 0;
  std::uint64_t sequence = 0;
  state_update update;
};

// Witness to owner: all updates up to and including `sequence` are recorded.
struct record_ack {
  program_id program;
  epoch_number epoch = 0;
  std::uint64_t sequence = 0;
};

// Paxos ballot number within an epoch. Ordered by round, then by proposer.
struct ballot {
  std::uint32_t round = 0;
  vm_ref proposer;

  auto operator<=>(const ballot&) const = default;
};

// Paxos phase 1, proposer to the members of an epoch: promise to refuse lower
// ballots, and close the epoch to further updates.
struct prepare {
  program_id program;
  replica_set current;
  ballot number;
};

// Paxos phase 1, member to proposer: the epoch is closed. Carries the replica
// set that the member has accepted before, if any (otherwise epoch 0).
struct promise {
  program_id program;
  epoch_number epoch = 0;
  ballot number;
  ballot accepted_number;
  replica_set accepted;
};

// Paxos phase 2, proposer to the members: accept the next replica set.
struct accept {
  program_id program;
  replica_set current;
  ballot number;
  replica_set next;
};

// Paxos phase 2, member to proposer: the next replica set is accepted.
struct accepted {
  program_id program;
  epoch_number epoch = 0;
  ballot number;
};

// Member to proposer: the member may not vote, has promised a higher ballot, or
// knows a replica set of a later epoch (`known`, otherwise epoch 0). A witness
// also sends it to an owner of an earlier epoch.
struct ballot_refused {
  program_id program;
  epoch_number epoch = 0;
  ballot promised;
  replica_set known;
};

// Sends a decided replica set with the program state to its owner or witness.
struct install {
  replica_set replicas;
  program_state state;
};

// The state is installed. An owner acknowledges once it is active.
struct install_ack {
  program_id program;
  epoch_number epoch = 0;
};

// Replaced owner to new owner: the result of an attempt of an earlier epoch.
struct late_settlement {
  program_id program;
  attempt_number attempt = 0;
  // A settlement or withdrawal; absent when the result is not known.
  std::optional<state_update> update;
  endpoint_id endpoint;
  bool holds_memory = false;
};

// New owner to replaced owner: the late settlement has been handled. When
// `is_gone` is set, the program has ended, and the receiver of this message
// must release the engine memory of the attempt.
struct late_settlement_ack {
  program_id program;
  attempt_number attempt = 0;
  bool is_gone = false;
};

// Asks for the newest replica set of a program that the receiver knows.
struct locate {
  request_id request = 0;
  program_id program;
};

// The newest replica set that the sender knows; epoch 0 if it knows none. Also
// sent unasked, with request 0, to announce a decided set.
struct locate_reply {
  request_id request = 0;
  program_id program;
  replica_set replicas;
};

// Owner to the other members: the program has ended; erase its state.
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
