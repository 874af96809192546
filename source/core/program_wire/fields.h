// Maps the fields of each type of the program library to the fields of its
// FlatBuffers object. Each Fields function serves both directions.
#ifndef DAISYWIND_PROGRAM_WIRE_FIELDS_H_
#define DAISYWIND_PROGRAM_WIRE_FIELDS_H_

#include <program_generated.h>

#include "program/messages.h"
#include "program/program_state.h"
#include "program/types.h"
#include "wire/mapping.h"
#include "wire/union_codec.h"

namespace daisywind {

template <class Direction>
auto Fields(Direction& codec,
            wire::domain_of<Direction, vm_ref>& value,
            program::fbs::VmRefT& object) -> void {
  codec.Name(value.vm, object.vm);
  codec.Number(value.run, object.run);
}

template <class Direction>
auto Fields(Direction& codec,
            wire::domain_of<Direction, program_id>& value,
            program::fbs::ProgramIdT& object) -> void {
  codec.Number(value.high, object.high);
  codec.Number(value.low, object.low);
}

}  // namespace daisywind

namespace daisywind::program {

using daisywind::Fields;
using wire::domain_of;

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, replica_set>& value,
            fbs::ReplicasT& object) -> void {
  codec.Number(value.epoch, object.epoch);
  codec.Object(value.owner, object.owner);
  codec.Object(value.witness, object.witness);
  codec.Object(value.arbiter, object.arbiter);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, program_handle>& value,
            fbs::HandleT& object) -> void {
  codec.Object(value.program, object.program);
  codec.Object(value.replicas, object.replicas);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, budget>& value,
            fbs::BudgetT& object) -> void {
  codec.Number(value.tokens, object.tokens);
  codec.Number(value.calls, object.calls);
  codec.Time(value.time, object.time_us);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, call_ref>& value,
            fbs::CallRefT& object) -> void {
  codec.Object(value.program, object.program);
  codec.Name(value.branch, object.branch);
  codec.Number(value.turn, object.turn);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, call_request>& value,
            fbs::CallRequestT& object) -> void {
  codec.Name(value.branch, object.branch);
  codec.Number(value.turn, object.turn);
  codec.Enumerator(value.kind, object.kind, /*last=*/call_kind::kService);
  codec.Text(value.target, object.target);
  codec.Name(value.adapter, object.adapter);
  codec.Text(value.key, object.key);
  codec.Number(value.is_idempotent, object.is_idempotent);
  codec.Number(value.has_lookup, object.has_lookup);
  codec.Number(value.is_stream, object.is_stream);
  codec.Number(value.offset, object.offset);
  codec.Digest(value.body_digest, object.body_digest);
  codec.Digests(value.history, object.history);
  codec.Number(value.prompt_tokens, object.prompt_tokens);
  codec.Number(value.max_tokens, object.max_tokens);
  codec.Digests(value.prefix_blocks, object.prefix_blocks);
  codec.Text(value.path, object.path);
  codec.Text(value.content_type, object.content_type);
  codec.Bytes(value.body, object.body);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, call_answer>& value,
            fbs::CallAnswerT& object) -> void {
  codec.Number(value.status, object.status);
  codec.Text(value.content_type, object.content_type);
  codec.Bytes(value.body, object.body);
  codec.Number(value.prompt_tokens, object.prompt_tokens);
  codec.Number(value.answer_tokens, object.answer_tokens);
  codec.Number(value.cached_tokens, object.cached_tokens);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, problem>& value,
            fbs::ProblemT& object) -> void {
  codec.Enumerator(value.result, object.result, /*last=*/outcome::kDone);
  codec.Enumerator(value.reason, object.reason,
                   /*last=*/refusal_reason::kQuarantined);
  codec.Text(value.detail, object.detail);
  codec.Time(value.retry_after, object.retry_after_us);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, call_record>& value,
            fbs::CallRecordT& object) -> void {
  codec.Number(value.turn, object.turn);
  codec.Number(value.attempt, object.attempt);
  codec.Number(value.attempts, object.attempts);
  codec.Enumerator(value.kind, object.kind, /*last=*/call_kind::kService);
  codec.Enumerator(value.phase, object.phase, /*last=*/call_phase::kWithdrawn);
  codec.Number(value.is_idempotent, object.is_idempotent);
  codec.Number(value.has_lookup, object.has_lookup);
  codec.Number(value.is_rerun, object.is_rerun);
  codec.Number(value.is_in_doubt_reported, object.is_doubt_told);
  codec.Digest(value.key_digest, object.key);
  codec.Digest(value.request_body_digest, object.body);
  codec.Text(value.target, object.target);
  codec.Name(value.endpoint, object.endpoint);
  codec.Object(value.reserved, object.reserved);
  codec.Number(value.message_count, object.message_count);
  codec.Digest(value.history_digest, object.history);
  codec.OptionalObject(value.answer, object.answer);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, branch_record>& value,
            fbs::BranchRecordT& object) -> void {
  codec.Name(value.name, object.name);
  codec.Name(value.parent, object.parent);
  codec.Number(value.last_turn, object.last_turn);
  codec.Number(value.message_count, object.message_count);
  codec.Digest(value.history_digest, object.history);
  codec.Number(value.is_joined, object.is_joined);
  codec.Table(value.calls, object.calls, &call_record::turn);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, program_state>& value,
            fbs::ProgramStateT& object) -> void {
  codec.Object(value.id, object.id);
  codec.Name(value.organisation, object.organisation);
  codec.Name(value.service_class, object.service_class);
  codec.Object(value.limits, object.limits);
  codec.Object(value.used, object.used);
  codec.Time(value.age, object.age_us);
  codec.Number(value.last_attempt, object.last_attempt);
  codec.Number(value.is_ended, object.is_ended);
  codec.Table(value.branches, object.branches, &branch_record::name);
  codec.Names(value.holders, object.holders);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, branch_started>& value,
            fbs::BranchStartedT& object) -> void {
  codec.Name(value.name, object.name);
  codec.Name(value.parent, object.parent);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, branch_joined>& value,
            fbs::BranchJoinedT& object) -> void {
  codec.Name(value.name, object.name);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, intent>& value,
            fbs::IntentT& object) -> void {
  codec.Name(value.branch, object.branch);
  codec.Object(value.call, object.call);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, withdrawal>& value,
            fbs::WithdrawalT& object) -> void {
  codec.Name(value.branch, object.branch);
  codec.Number(value.turn, object.turn);
  codec.Number(value.attempt, object.attempt);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, settlement>& value,
            fbs::SettlementT& object) -> void {
  codec.Name(value.branch, object.branch);
  codec.Number(value.turn, object.turn);
  codec.Number(value.attempt, object.attempt);
  codec.Object(value.used, object.used);
  codec.Number(value.message_count, object.message_count);
  codec.Digest(value.history_digest, object.history);
  codec.OptionalObject(value.answer, object.answer);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, in_doubt_reported>& value,
            fbs::DoubtToldT& object) -> void {
  codec.Name(value.branch, object.branch);
  codec.Number(value.turn, object.turn);
}

template <class Direction>
auto Fields(Direction& /*codec*/,
            domain_of<Direction, program_ended>& /*value*/,
            fbs::ProgramEndedT& /*object*/) -> void {}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, holder_released>& value,
            fbs::HolderReleasedT& object) -> void {
  codec.Name(value.endpoint, object.endpoint);
}

// Maps each kind of update to its FlatBuffers object.
template <class T>
struct update_object;
template <>
struct update_object<branch_started> {
  using type = fbs::BranchStartedT;
};
template <>
struct update_object<branch_joined> {
  using type = fbs::BranchJoinedT;
};
template <>
struct update_object<intent> {
  using type = fbs::IntentT;
};
template <>
struct update_object<withdrawal> {
  using type = fbs::WithdrawalT;
};
template <>
struct update_object<settlement> {
  using type = fbs::SettlementT;
};
template <>
struct update_object<in_doubt_reported> {
  using type = fbs::DoubtToldT;
};
template <>
struct update_object<program_ended> {
  using type = fbs::ProgramEndedT;
};
template <>
struct update_object<holder_released> {
  using type = fbs::HolderReleasedT;
};

// Encodes the update of a message.
inline auto CopyUpdate(wire::wire_encoder& codec,
                       const state_update& value,
                       fbs::UpdateUnion& object) -> void {
  wire::WriteUnion<update_object>(codec, value, object);
}

// Decodes the update of a message.
inline auto CopyUpdate(wire::wire_decoder& codec,
                       state_update& value,
                       fbs::UpdateUnion& object) -> void {
  wire::ReadUnion<update_object, fbs::UpdateUnionTraits>(codec, value, object);
}

// Encodes an optional update.
inline auto CopyUpdate(wire::wire_encoder& codec,
                       const std::optional<state_update>& value,
                       fbs::UpdateUnion& object) -> void {
  if (value) {
    CopyUpdate(codec, *value, object);
  }
}

// Decodes an optional update.
inline auto CopyUpdate(wire::wire_decoder& codec,
                       std::optional<state_update>& value,
                       fbs::UpdateUnion& object) -> void {
  if (object.type != fbs::Update_NONE) {
    CopyUpdate(codec, value.emplace(), object);
  }
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, branch_view>& value,
            fbs::BranchViewT& object) -> void {
  codec.Name(value.name, object.name);
  codec.Name(value.parent, object.parent);
  codec.Number(value.last_turn, object.last_turn);
  codec.Number(value.is_running, object.is_running);
  codec.Number(value.is_joined, object.is_joined);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, program_view>& value,
            fbs::ProgramViewT& object) -> void {
  codec.Object(value.handle, object.handle);
  codec.Name(value.organisation, object.organisation);
  codec.Name(value.service_class, object.service_class);
  codec.Object(value.limits, object.limits);
  codec.Object(value.used, object.used);
  codec.Object(value.reserved, object.reserved);
  codec.Objects(value.branches, object.branches);
  codec.Number(value.is_ended, object.is_ended);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, ballot>& value,
            fbs::BallotT& object) -> void {
  codec.Number(value.round, object.round);
  codec.Object(value.proposer, object.proposer);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, forward_call>& value,
            fbs::ForwardCallT& object) -> void {
  codec.Number(value.request, object.request);
  codec.Object(value.handle, object.handle);
  codec.Name(value.organisation, object.organisation);
  codec.Object(value.call, object.call);
  codec.Bytes(value.delivered, object.delivered);
  codec.Number(value.is_owner_silent, object.is_owner_silent);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, forward_control>& value,
            fbs::ForwardControlT& object) -> void {
  codec.Number(value.request, object.request);
  codec.Object(value.handle, object.handle);
  codec.Name(value.organisation, object.organisation);
  codec.Enumerator(value.action, object.action,
                   /*last=*/control_action::kQuery);
  codec.Name(value.branch, object.branch);
  codec.Name(value.parent, object.parent);
  codec.Number(value.is_owner_silent, object.is_owner_silent);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, forward_accepted>& value,
            fbs::ForwardAcceptedT& object) -> void {
  codec.Number(value.request, object.request);
  codec.Object(value.replicas, object.replicas);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, forward_poll>& value,
            fbs::ForwardPollT& object) -> void {
  codec.Number(value.request, object.request);
  codec.Object(value.call, object.call);
  codec.Number(value.offset, object.offset);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, forward_redirect>& value,
            fbs::ForwardRedirectT& object) -> void {
  codec.Number(value.request, object.request);
  codec.Object(value.program, object.program);
  codec.Object(value.replicas, object.replicas);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, forward_cancel>& value,
            fbs::ForwardCancelT& object) -> void {
  codec.Number(value.request, object.request);
  codec.Object(value.call, object.call);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, in_doubt_delivered>& value,
            fbs::DoubtDeliveredT& object) -> void {
  codec.Object(value.call, object.call);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, call_part>& value,
            fbs::CallPartT& object) -> void {
  codec.Number(value.request, object.request);
  codec.Object(value.replicas, object.replicas);
  codec.Number(value.offset, object.offset);
  codec.Bytes(value.bytes, object.bytes);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, call_end>& value,
            fbs::CallEndT& object) -> void {
  codec.Number(value.request, object.request);
  codec.Object(value.replicas, object.replicas);
  codec.Object(value.answer, object.answer);
  codec.Number(value.text_bytes, object.text_bytes);
  codec.Number(value.is_lost, object.is_lost);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, call_problem>& value,
            fbs::CallProblemT& object) -> void {
  codec.Number(value.request, object.request);
  codec.Object(value.replicas, object.replicas);
  codec.Object(value.refusal, object.refusal);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, control_reply>& value,
            fbs::ControlReplyT& object) -> void {
  codec.Number(value.request, object.request);
  codec.Object(value.view, object.view);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, record_update>& value,
            fbs::RecordUpdateT& object) -> void {
  codec.Object(value.program, object.program);
  codec.Number(value.epoch, object.epoch);
  codec.Number(value.sequence, object.sequence);
  CopyUpdate(codec, value.update, object.update);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, record_ack>& value,
            fbs::RecordAckT& object) -> void {
  codec.Object(value.program, object.program);
  codec.Number(value.epoch, object.epoch);
  codec.Number(value.sequence, object.sequence);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, prepare>& value,
            fbs::PrepareT& object) -> void {
  codec.Object(value.program, object.program);
  codec.Object(value.current, object.current);
  codec.Object(value.number, object.number);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, promise>& value,
            fbs::PromiseT& object) -> void {
  codec.Object(value.program, object.program);
  codec.Number(value.epoch, object.epoch);
  codec.Object(value.number, object.number);
  codec.Object(value.accepted_number, object.accepted_number);
  codec.Object(value.accepted, object.accepted);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, accept>& value,
            fbs::AcceptT& object) -> void {
  codec.Object(value.program, object.program);
  codec.Object(value.current, object.current);
  codec.Object(value.number, object.number);
  codec.Object(value.next, object.next);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, accepted>& value,
            fbs::AcceptedT& object) -> void {
  codec.Object(value.program, object.program);
  codec.Number(value.epoch, object.epoch);
  codec.Object(value.number, object.number);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, ballot_refused>& value,
            fbs::BallotRefusedT& object) -> void {
  codec.Object(value.program, object.program);
  codec.Number(value.epoch, object.epoch);
  codec.Object(value.promised, object.promised);
  codec.Object(value.known, object.known);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, install>& value,
            fbs::InstallT& object) -> void {
  codec.Object(value.replicas, object.replicas);
  codec.Object(value.state, object.state);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, install_ack>& value,
            fbs::InstallAckT& object) -> void {
  codec.Object(value.program, object.program);
  codec.Number(value.epoch, object.epoch);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, late_settlement>& value,
            fbs::LateSettlementT& object) -> void {
  codec.Object(value.program, object.program);
  codec.Number(value.attempt, object.attempt);
  CopyUpdate(codec, value.update, object.update);
  codec.Name(value.endpoint, object.endpoint);
  codec.Number(value.holds_memory, object.holds_memory);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, late_settlement_ack>& value,
            fbs::LateSettlementAckT& object) -> void {
  codec.Object(value.program, object.program);
  codec.Number(value.attempt, object.attempt);
  codec.Number(value.is_gone, object.is_gone);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, locate>& value,
            fbs::LocateT& object) -> void {
  codec.Number(value.request, object.request);
  codec.Object(value.program, object.program);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, locate_reply>& value,
            fbs::LocateReplyT& object) -> void {
  codec.Number(value.request, object.request);
  codec.Object(value.program, object.program);
  codec.Object(value.replicas, object.replicas);
}

template <class Direction>
auto Fields(Direction& codec,
            domain_of<Direction, discard>& value,
            fbs::DiscardT& object) -> void {
  codec.Object(value.program, object.program);
  codec.Number(value.epoch, object.epoch);
}

// Maps each kind of message to its FlatBuffers object.
template <class T>
struct body_object;
template <>
struct body_object<forward_call> {
  using type = fbs::ForwardCallT;
};
template <>
struct body_object<forward_control> {
  using type = fbs::ForwardControlT;
};
template <>
struct body_object<forward_accepted> {
  using type = fbs::ForwardAcceptedT;
};
template <>
struct body_object<forward_poll> {
  using type = fbs::ForwardPollT;
};
template <>
struct body_object<forward_redirect> {
  using type = fbs::ForwardRedirectT;
};
template <>
struct body_object<forward_cancel> {
  using type = fbs::ForwardCancelT;
};
template <>
struct body_object<in_doubt_delivered> {
  using type = fbs::DoubtDeliveredT;
};
template <>
struct body_object<call_part> {
  using type = fbs::CallPartT;
};
template <>
struct body_object<call_end> {
  using type = fbs::CallEndT;
};
template <>
struct body_object<call_problem> {
  using type = fbs::CallProblemT;
};
template <>
struct body_object<control_reply> {
  using type = fbs::ControlReplyT;
};
template <>
struct body_object<record_update> {
  using type = fbs::RecordUpdateT;
};
template <>
struct body_object<record_ack> {
  using type = fbs::RecordAckT;
};
template <>
struct body_object<prepare> {
  using type = fbs::PrepareT;
};
template <>
struct body_object<promise> {
  using type = fbs::PromiseT;
};
template <>
struct body_object<accept> {
  using type = fbs::AcceptT;
};
template <>
struct body_object<accepted> {
  using type = fbs::AcceptedT;
};
template <>
struct body_object<ballot_refused> {
  using type = fbs::BallotRefusedT;
};
template <>
struct body_object<install> {
  using type = fbs::InstallT;
};
template <>
struct body_object<install_ack> {
  using type = fbs::InstallAckT;
};
template <>
struct body_object<late_settlement> {
  using type = fbs::LateSettlementT;
};
template <>
struct body_object<late_settlement_ack> {
  using type = fbs::LateSettlementAckT;
};
template <>
struct body_object<locate> {
  using type = fbs::LocateT;
};
template <>
struct body_object<locate_reply> {
  using type = fbs::LocateReplyT;
};
template <>
struct body_object<discard> {
  using type = fbs::DiscardT;
};

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_WIRE_FIELDS_H_
