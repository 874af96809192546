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
auto Fields(Direction& copy,
            wire::domain_of<Direction, vm_ref>& value,
            program::fbs::VmRefT& object) -> void {
  copy.Name(value.vm, object.vm);
  copy.Number(value.run, object.run);
}

template <class Direction>
auto Fields(Direction& copy,
            wire::domain_of<Direction, program_id>& value,
            program::fbs::ProgramIdT& object) -> void {
  copy.Number(value.high, object.high);
  copy.Number(value.low, object.low);
}

}  // namespace daisywind

namespace daisywind::program {

using daisywind::Fields;
using wire::domain_of;

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, replica_set>& value,
            fbs::ReplicasT& object) -> void {
  copy.Number(value.epoch, object.epoch);
  copy.Object(value.owner, object.owner);
  copy.Object(value.witness, object.witness);
  copy.Object(value.arbiter, object.arbiter);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, program_handle>& value,
            fbs::HandleT& object) -> void {
  copy.Object(value.program, object.program);
  copy.Object(value.replicas, object.replicas);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, budget>& value,
            fbs::BudgetT& object) -> void {
  copy.Number(value.tokens, object.tokens);
  copy.Number(value.calls, object.calls);
  copy.Time(value.time, object.time_us);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, call_ref>& value,
            fbs::CallRefT& object) -> void {
  copy.Object(value.program, object.program);
  copy.Name(value.branch, object.branch);
  copy.Number(value.turn, object.turn);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, call_request>& value,
            fbs::CallRequestT& object) -> void {
  copy.Name(value.branch, object.branch);
  copy.Number(value.turn, object.turn);
  copy.Enumerator(value.kind, object.kind, call_kind::kService);
  copy.Text(value.target, object.target);
  copy.Name(value.adapter, object.adapter);
  copy.Text(value.key, object.key);
  copy.Number(value.is_idempotent, object.is_idempotent);
  copy.Number(value.has_lookup, object.has_lookup);
  copy.Number(value.is_stream, object.is_stream);
  copy.Number(value.offset, object.offset);
  copy.Digest(value.body_digest, object.body_digest);
  copy.Digests(value.history, object.history);
  copy.Number(value.prompt_tokens, object.prompt_tokens);
  copy.Number(value.max_tokens, object.max_tokens);
  copy.Digests(value.prefix_blocks, object.prefix_blocks);
  copy.Text(value.path, object.path);
  copy.Text(value.content_type, object.content_type);
  copy.Bytes(value.body, object.body);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, call_answer>& value,
            fbs::CallAnswerT& object) -> void {
  copy.Number(value.status, object.status);
  copy.Text(value.content_type, object.content_type);
  copy.Bytes(value.body, object.body);
  copy.Number(value.prompt_tokens, object.prompt_tokens);
  copy.Number(value.answer_tokens, object.answer_tokens);
  copy.Number(value.cached_tokens, object.cached_tokens);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, problem>& value,
            fbs::ProblemT& object) -> void {
  copy.Enumerator(value.result, object.result, outcome::kDone);
  copy.Enumerator(value.reason, object.reason, refusal_reason::kQuarantined);
  copy.Text(value.detail, object.detail);
  copy.Time(value.retry_after, object.retry_after_us);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, call_record>& value,
            fbs::CallRecordT& object) -> void {
  copy.Number(value.turn, object.turn);
  copy.Number(value.attempt, object.attempt);
  copy.Number(value.attempts, object.attempts);
  copy.Enumerator(value.kind, object.kind, call_kind::kService);
  copy.Enumerator(value.phase, object.phase, call_phase::kWithdrawn);
  copy.Number(value.is_idempotent, object.is_idempotent);
  copy.Number(value.has_lookup, object.has_lookup);
  copy.Number(value.is_rerun, object.is_rerun);
  copy.Number(value.is_in_doubt_reported, object.is_doubt_told);
  copy.Digest(value.key_digest, object.key);
  copy.Digest(value.request_body_digest, object.body);
  copy.Text(value.target, object.target);
  copy.Name(value.endpoint, object.endpoint);
  copy.Object(value.reserved, object.reserved);
  copy.Number(value.message_count, object.message_count);
  copy.Digest(value.history_digest, object.history);
  copy.OptionalObject(value.answer, object.answer);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, branch_record>& value,
            fbs::BranchRecordT& object) -> void {
  copy.Name(value.name, object.name);
  copy.Name(value.parent, object.parent);
  copy.Number(value.last_turn, object.last_turn);
  copy.Number(value.message_count, object.message_count);
  copy.Digest(value.history_digest, object.history);
  copy.Number(value.is_joined, object.is_joined);
  copy.Table(value.calls, object.calls, &call_record::turn);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, program_state>& value,
            fbs::ProgramStateT& object) -> void {
  copy.Object(value.id, object.id);
  copy.Name(value.organisation, object.organisation);
  copy.Name(value.service_class, object.service_class);
  copy.Object(value.limits, object.limits);
  copy.Object(value.used, object.used);
  copy.Time(value.age, object.age_us);
  copy.Number(value.last_attempt, object.last_attempt);
  copy.Number(value.is_ended, object.is_ended);
  copy.Table(value.branches, object.branches, &branch_record::name);
  copy.Names(value.holders, object.holders);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, branch_started>& value,
            fbs::BranchStartedT& object) -> void {
  copy.Name(value.name, object.name);
  copy.Name(value.parent, object.parent);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, branch_joined>& value,
            fbs::BranchJoinedT& object) -> void {
  copy.Name(value.name, object.name);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, intent>& value,
            fbs::IntentT& object) -> void {
  copy.Name(value.branch, object.branch);
  copy.Object(value.call, object.call);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, withdrawal>& value,
            fbs::WithdrawalT& object) -> void {
  copy.Name(value.branch, object.branch);
  copy.Number(value.turn, object.turn);
  copy.Number(value.attempt, object.attempt);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, settlement>& value,
            fbs::SettlementT& object) -> void {
  copy.Name(value.branch, object.branch);
  copy.Number(value.turn, object.turn);
  copy.Number(value.attempt, object.attempt);
  copy.Object(value.used, object.used);
  copy.Number(value.message_count, object.message_count);
  copy.Digest(value.history_digest, object.history);
  copy.OptionalObject(value.answer, object.answer);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, in_doubt_reported>& value,
            fbs::DoubtToldT& object) -> void {
  copy.Name(value.branch, object.branch);
  copy.Number(value.turn, object.turn);
}

template <class Direction>
auto Fields(Direction& /*copy*/,
            domain_of<Direction, program_ended>& /*value*/,
            fbs::ProgramEndedT& /*object*/) -> void {}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, holder_released>& value,
            fbs::HolderReleasedT& object) -> void {
  copy.Name(value.endpoint, object.endpoint);
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
inline auto CopyUpdate(wire::wire_encoder& copy,
                       const state_update& value,
                       fbs::UpdateUnion& object) -> void {
  wire::WriteUnion<update_object>(copy, value, object);
}

// Decodes the update of a message.
inline auto CopyUpdate(wire::wire_decoder& copy,
                       state_update& value,
                       fbs::UpdateUnion& object) -> void {
  wire::ReadUnion<update_object, fbs::UpdateUnionTraits>(copy, value, object);
}

// Encodes an optional update.
inline auto CopyUpdate(wire::wire_encoder& copy,
                       const std::optional<state_update>& value,
                       fbs::UpdateUnion& object) -> void {
  if (value) {
    CopyUpdate(copy, *value, object);
  }
}

// Decodes an optional update.
inline auto CopyUpdate(wire::wire_decoder& copy,
                       std::optional<state_update>& value,
                       fbs::UpdateUnion& object) -> void {
  if (object.type != fbs::Update_NONE) {
    CopyUpdate(copy, value.emplace(), object);
  }
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, branch_view>& value,
            fbs::BranchViewT& object) -> void {
  copy.Name(value.name, object.name);
  copy.Name(value.parent, object.parent);
  copy.Number(value.last_turn, object.last_turn);
  copy.Number(value.is_running, object.is_running);
  copy.Number(value.is_joined, object.is_joined);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, program_view>& value,
            fbs::ProgramViewT& object) -> void {
  copy.Object(value.handle, object.handle);
  copy.Name(value.organisation, object.organisation);
  copy.Name(value.service_class, object.service_class);
  copy.Object(value.limits, object.limits);
  copy.Object(value.used, object.used);
  copy.Object(value.reserved, object.reserved);
  copy.Objects(value.branches, object.branches);
  copy.Number(value.is_ended, object.is_ended);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, ballot>& value,
            fbs::BallotT& object) -> void {
  copy.Number(value.round, object.round);
  copy.Object(value.proposer, object.proposer);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, forward_call>& value,
            fbs::ForwardCallT& object) -> void {
  copy.Number(value.request, object.request);
  copy.Object(value.handle, object.handle);
  copy.Name(value.organisation, object.organisation);
  copy.Object(value.call, object.call);
  copy.Bytes(value.delivered, object.delivered);
  copy.Number(value.is_owner_silent, object.is_owner_silent);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, forward_control>& value,
            fbs::ForwardControlT& object) -> void {
  copy.Number(value.request, object.request);
  copy.Object(value.handle, object.handle);
  copy.Name(value.organisation, object.organisation);
  copy.Enumerator(value.action, object.action, control_action::kQuery);
  copy.Name(value.branch, object.branch);
  copy.Name(value.parent, object.parent);
  copy.Number(value.is_owner_silent, object.is_owner_silent);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, forward_accepted>& value,
            fbs::ForwardAcceptedT& object) -> void {
  copy.Number(value.request, object.request);
  copy.Object(value.replicas, object.replicas);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, forward_poll>& value,
            fbs::ForwardPollT& object) -> void {
  copy.Number(value.request, object.request);
  copy.Object(value.call, object.call);
  copy.Number(value.offset, object.offset);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, forward_redirect>& value,
            fbs::ForwardRedirectT& object) -> void {
  copy.Number(value.request, object.request);
  copy.Object(value.program, object.program);
  copy.Object(value.replicas, object.replicas);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, forward_cancel>& value,
            fbs::ForwardCancelT& object) -> void {
  copy.Number(value.request, object.request);
  copy.Object(value.call, object.call);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, in_doubt_delivered>& value,
            fbs::DoubtDeliveredT& object) -> void {
  copy.Object(value.call, object.call);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, call_part>& value,
            fbs::CallPartT& object) -> void {
  copy.Number(value.request, object.request);
  copy.Object(value.replicas, object.replicas);
  copy.Number(value.offset, object.offset);
  copy.Bytes(value.bytes, object.bytes);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, call_end>& value,
            fbs::CallEndT& object) -> void {
  copy.Number(value.request, object.request);
  copy.Object(value.replicas, object.replicas);
  copy.Object(value.answer, object.answer);
  copy.Number(value.text_bytes, object.text_bytes);
  copy.Number(value.is_lost, object.is_lost);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, call_problem>& value,
            fbs::CallProblemT& object) -> void {
  copy.Number(value.request, object.request);
  copy.Object(value.replicas, object.replicas);
  copy.Object(value.refusal, object.refusal);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, control_reply>& value,
            fbs::ControlReplyT& object) -> void {
  copy.Number(value.request, object.request);
  copy.Object(value.view, object.view);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, record_update>& value,
            fbs::RecordUpdateT& object) -> void {
  copy.Object(value.program, object.program);
  copy.Number(value.epoch, object.epoch);
  copy.Number(value.sequence, object.sequence);
  CopyUpdate(copy, value.update, object.update);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, record_ack>& value,
            fbs::RecordAckT& object) -> void {
  copy.Object(value.program, object.program);
  copy.Number(value.epoch, object.epoch);
  copy.Number(value.sequence, object.sequence);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, prepare>& value,
            fbs::PrepareT& object) -> void {
  copy.Object(value.program, object.program);
  copy.Object(value.current, object.current);
  copy.Object(value.number, object.number);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, promise>& value,
            fbs::PromiseT& object) -> void {
  copy.Object(value.program, object.program);
  copy.Number(value.epoch, object.epoch);
  copy.Object(value.number, object.number);
  copy.Object(value.accepted_number, object.accepted_number);
  copy.Object(value.accepted, object.accepted);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, accept>& value,
            fbs::AcceptT& object) -> void {
  copy.Object(value.program, object.program);
  copy.Object(value.current, object.current);
  copy.Object(value.number, object.number);
  copy.Object(value.next, object.next);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, accepted>& value,
            fbs::AcceptedT& object) -> void {
  copy.Object(value.program, object.program);
  copy.Number(value.epoch, object.epoch);
  copy.Object(value.number, object.number);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, ballot_refused>& value,
            fbs::BallotRefusedT& object) -> void {
  copy.Object(value.program, object.program);
  copy.Number(value.epoch, object.epoch);
  copy.Object(value.promised, object.promised);
  copy.Object(value.known, object.known);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, install>& value,
            fbs::InstallT& object) -> void {
  copy.Object(value.replicas, object.replicas);
  copy.Object(value.state, object.state);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, install_ack>& value,
            fbs::InstallAckT& object) -> void {
  copy.Object(value.program, object.program);
  copy.Number(value.epoch, object.epoch);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, late_settlement>& value,
            fbs::LateSettlementT& object) -> void {
  copy.Object(value.program, object.program);
  copy.Number(value.attempt, object.attempt);
  CopyUpdate(copy, value.update, object.update);
  copy.Name(value.endpoint, object.endpoint);
  copy.Number(value.holds_memory, object.holds_memory);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, late_settlement_ack>& value,
            fbs::LateSettlementAckT& object) -> void {
  copy.Object(value.program, object.program);
  copy.Number(value.attempt, object.attempt);
  copy.Number(value.is_gone, object.is_gone);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, locate>& value,
            fbs::LocateT& object) -> void {
  copy.Number(value.request, object.request);
  copy.Object(value.program, object.program);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, locate_reply>& value,
            fbs::LocateReplyT& object) -> void {
  copy.Number(value.request, object.request);
  copy.Object(value.program, object.program);
  copy.Object(value.replicas, object.replicas);
}

template <class Direction>
auto Fields(Direction& copy,
            domain_of<Direction, discard>& value,
            fbs::DiscardT& object) -> void {
  copy.Object(value.program, object.program);
  copy.Number(value.epoch, object.epoch);
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
