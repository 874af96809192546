// The fields of each message and its wire table side by side. An encoder and a
// decoder walk the same lists, so neither can miss a field of the other.
#ifndef DAISYWIND_PROGRAM_WIRE_FIELD_LISTS_H_
#define DAISYWIND_PROGRAM_WIRE_FIELD_LISTS_H_

#include "program/messages.h"
#include "program_wire/program_generated.h"

namespace daisywind::program_wire {

template <class Walker>
auto Walk(Walker& walk, vm_ref& item, VmRefT& wire) -> void {
  walk(item.vm, wire.vm);
  walk(item.run, wire.run);
}

template <class Walker>
auto Walk(Walker& walk, program::replica_set& item, ReplicaSetT& wire) -> void {
  walk(item.epoch, wire.epoch);
  walk(item.owner, wire.owner);
  walk(item.witness, wire.witness);
  walk(item.arbiter, wire.arbiter);
}

template <class Walker>
auto Walk(Walker& walk, program::program_handle& item, HandleT& wire) -> void {
  walk(item.program, wire.program);
  walk(item.replicas, wire.replicas);
}

template <class Walker>
auto Walk(Walker& walk, program::call_ref& item, CallRefT& wire) -> void {
  walk(item.program, wire.program);
  walk(item.branch, wire.branch);
  walk(item.turn, wire.turn);
}

template <class Walker>
auto Walk(Walker& walk, program::problem& item, ProblemT& wire) -> void {
  walk(item.result, wire.result);
  walk(item.reason, wire.reason);
  walk(item.detail, wire.detail);
  walk(item.retry_after, wire.retry_after_us);
}

template <class Walker>
auto Walk(Walker& walk, program::call_answer& item, AnswerT& wire) -> void {
  walk(item.status, wire.status);
  walk(item.content_type, wire.content_type);
  walk(item.body, wire.body);
  walk(item.prompt_tokens, wire.prompt_tokens);
  walk(item.answer_tokens, wire.answer_tokens);
}

template <class Walker>
auto Walk(Walker& walk, program::call_request& item, CallRequestT& wire)
    -> void {
  walk(item.branch, wire.branch);
  walk(item.turn, wire.turn);
  walk(item.kind, wire.kind);
  walk(item.target, wire.target);
  walk(item.adapter, wire.adapter);
  walk(item.key, wire.key);
  walk(item.is_idempotent, wire.is_idempotent);
  walk(item.has_lookup, wire.has_lookup);
  walk(item.is_stream, wire.is_stream);
  walk(item.offset, wire.offset);
  walk(item.body_digest, wire.body_digest);
  walk(item.history, wire.history);
  walk(item.prompt_tokens, wire.prompt_tokens);
  walk(item.max_tokens, wire.max_tokens);
  walk(item.prefix_blocks, wire.prefix_blocks);
  walk(item.path, wire.path);
  walk(item.content_type, wire.content_type);
  walk(item.body, wire.body);
}

template <class Walker>
auto Walk(Walker& walk, program::call_record& item, CallRecordT& wire) -> void {
  walk(item.turn, wire.turn);
  walk(item.attempt, wire.attempt);
  walk(item.attempts, wire.attempts);
  walk(item.kind, wire.kind);
  walk(item.phase, wire.phase);
  walk(item.is_idempotent, wire.is_idempotent);
  walk(item.has_lookup, wire.has_lookup);
  walk(item.is_rerun, wire.is_rerun);
  walk(item.is_doubt_told, wire.is_doubt_told);
  walk(item.key, wire.key);
  walk(item.body, wire.body);
  walk(item.target, wire.target);
  walk(item.endpoint, wire.endpoint);
  walk(item.reserved, wire.reserved);
  walk(item.message_count, wire.message_count);
  walk(item.history, wire.history);
  walk(item.answer, wire.answer);
}

template <class Walker>
auto Walk(Walker& walk, program::branch_record& item, BranchT& wire) -> void {
  walk(item.name, wire.name);
  walk(item.parent, wire.parent);
  walk(item.last_turn, wire.last_turn);
  walk(item.message_count, wire.message_count);
  walk(item.history, wire.history);
  walk(item.is_joined, wire.is_joined);
  walk(item.calls, wire.calls);
}

template <class Walker>
auto Walk(Walker& walk, program::program_state& item, StateT& wire) -> void {
  walk(item.id, wire.id);
  walk(item.tenant, wire.tenant);
  walk(item.service_class, wire.service_class);
  walk(item.limits, wire.limits);
  walk(item.used, wire.used);
  walk(item.age, wire.age_us);
  walk(item.last_attempt, wire.last_attempt);
  walk(item.is_ended, wire.is_ended);
  walk(item.branches, wire.branches);
  walk(item.holders, wire.holders);
}

template <class Walker>
auto Walk(Walker& walk, program::branch_started& item, BranchStartedT& wire)
    -> void {
  walk(item.name, wire.name);
  walk(item.parent, wire.parent);
}

template <class Walker>
auto Walk(Walker& walk, program::branch_joined& item, BranchJoinedT& wire)
    -> void {
  walk(item.name, wire.name);
}

template <class Walker>
auto Walk(Walker& walk, program::intent& item, IntentT& wire) -> void {
  walk(item.branch, wire.branch);
  walk(item.call, wire.call);
}

template <class Walker>
auto Walk(Walker& walk, program::withdrawal& item, WithdrawalT& wire) -> void {
  walk(item.branch, wire.branch);
  walk(item.turn, wire.turn);
  walk(item.attempt, wire.attempt);
}

template <class Walker>
auto Walk(Walker& walk, program::settlement& item, SettlementT& wire) -> void {
  walk(item.branch, wire.branch);
  walk(item.turn, wire.turn);
  walk(item.attempt, wire.attempt);
  walk(item.used, wire.used);
  walk(item.message_count, wire.message_count);
  walk(item.history, wire.history);
  walk(item.answer, wire.answer);
}

template <class Walker>
auto Walk(Walker& walk, program::doubt_told& item, DoubtToldT& wire) -> void {
  walk(item.branch, wire.branch);
  walk(item.turn, wire.turn);
}

template <class Walker>
auto Walk(Walker& /*walk*/,
          program::program_ended& /*item*/,
          ProgramEndedT& /*wire*/) -> void {}

template <class Walker>
auto Walk(Walker& walk, program::holder_released& item, HolderReleasedT& wire)
    -> void {
  walk(item.endpoint, wire.endpoint);
}

template <class Walker>
auto Walk(Walker& walk, program::branch_view& item, BranchViewT& wire) -> void {
  walk(item.name, wire.name);
  walk(item.parent, wire.parent);
  walk(item.last_turn, wire.last_turn);
  walk(item.is_running, wire.is_running);
  walk(item.is_joined, wire.is_joined);
}

template <class Walker>
auto Walk(Walker& walk, program::program_view& item, ViewT& wire) -> void {
  walk(item.handle, wire.handle);
  walk(item.tenant, wire.tenant);
  walk(item.service_class, wire.service_class);
  walk(item.limits, wire.limits);
  walk(item.used, wire.used);
  walk(item.reserved, wire.reserved);
  walk(item.branches, wire.branches);
  walk(item.is_ended, wire.is_ended);
}

template <class Walker>
auto Walk(Walker& walk, program::ballot& item, BallotT& wire) -> void {
  walk(item.round, wire.round);
  walk(item.proposer, wire.proposer);
}

template <class Walker>
auto Walk(Walker& walk, program::forward_call& item, ForwardCallT& wire)
    -> void {
  walk(item.request, wire.request);
  walk(item.handle, wire.handle);
  walk(item.tenant, wire.tenant);
  walk(item.call, wire.call);
  walk(item.delivered, wire.delivered);
  walk(item.is_owner_silent, wire.is_owner_silent);
}

template <class Walker>
auto Walk(Walker& walk, program::forward_control& item, ForwardControlT& wire)
    -> void {
  walk(item.request, wire.request);
  walk(item.handle, wire.handle);
  walk(item.tenant, wire.tenant);
  walk(item.action, wire.action);
  walk(item.branch, wire.branch);
  walk(item.parent, wire.parent);
  walk(item.is_owner_silent, wire.is_owner_silent);
}

template <class Walker>
auto Walk(Walker& walk, program::forward_accepted& item, ForwardAcceptedT& wire)
    -> void {
  walk(item.request, wire.request);
  walk(item.replicas, wire.replicas);
}

template <class Walker>
auto Walk(Walker& walk, program::forward_poll& item, ForwardPollT& wire)
    -> void {
  walk(item.request, wire.request);
  walk(item.call, wire.call);
  walk(item.offset, wire.offset);
}

template <class Walker>
auto Walk(Walker& walk, program::forward_redirect& item, ForwardRedirectT& wire)
    -> void {
  walk(item.request, wire.request);
  walk(item.program, wire.program);
  walk(item.replicas, wire.replicas);
}

template <class Walker>
auto Walk(Walker& walk, program::forward_cancel& item, ForwardCancelT& wire)
    -> void {
  walk(item.request, wire.request);
  walk(item.call, wire.call);
}

template <class Walker>
auto Walk(Walker& walk, program::call_part& item, CallPartT& wire) -> void {
  walk(item.request, wire.request);
  walk(item.replicas, wire.replicas);
  walk(item.offset, wire.offset);
  walk(item.bytes, wire.bytes);
}

template <class Walker>
auto Walk(Walker& walk, program::call_end& item, CallEndT& wire) -> void {
  walk(item.request, wire.request);
  walk(item.replicas, wire.replicas);
  walk(item.answer, wire.answer);
  walk(item.text_bytes, wire.text_bytes);
  walk(item.is_lost, wire.is_lost);
}

template <class Walker>
auto Walk(Walker& walk, program::call_problem& item, CallProblemT& wire)
    -> void {
  walk(item.request, wire.request);
  walk(item.replicas, wire.replicas);
  walk(item.refusal, wire.refusal);
}

template <class Walker>
auto Walk(Walker& walk, program::control_reply& item, ControlReplyT& wire)
    -> void {
  walk(item.request, wire.request);
  walk(item.view, wire.view);
}

template <class Walker>
auto Walk(Walker& walk, program::doubt_delivered& item, DoubtDeliveredT& wire)
    -> void {
  walk(item.call, wire.call);
}

template <class Walker>
auto Walk(Walker& walk, program::record_update& item, RecordUpdateT& wire)
    -> void {
  walk(item.program, wire.program);
  walk(item.epoch, wire.epoch);
  walk(item.sequence, wire.sequence);
  walk(item.update, wire.update);
}

template <class Walker>
auto Walk(Walker& walk, program::record_ack& item, RecordAckT& wire) -> void {
  walk(item.program, wire.program);
  walk(item.epoch, wire.epoch);
  walk(item.sequence, wire.sequence);
}

template <class Walker>
auto Walk(Walker& walk, program::prepare& item, PrepareT& wire) -> void {
  walk(item.program, wire.program);
  walk(item.current, wire.current);
  walk(item.number, wire.number);
}

template <class Walker>
auto Walk(Walker& walk, program::promise& item, PromiseT& wire) -> void {
  walk(item.program, wire.program);
  walk(item.epoch, wire.epoch);
  walk(item.number, wire.number);
  walk(item.accepted_number, wire.accepted_number);
  walk(item.accepted, wire.accepted);
}

template <class Walker>
auto Walk(Walker& walk, program::accept& item, AcceptT& wire) -> void {
  walk(item.program, wire.program);
  walk(item.current, wire.current);
  walk(item.number, wire.number);
  walk(item.next, wire.next);
}

template <class Walker>
auto Walk(Walker& walk, program::accepted& item, AcceptedT& wire) -> void {
  walk(item.program, wire.program);
  walk(item.epoch, wire.epoch);
  walk(item.number, wire.number);
}

template <class Walker>
auto Walk(Walker& walk, program::ballot_refused& item, BallotRefusedT& wire)
    -> void {
  walk(item.program, wire.program);
  walk(item.epoch, wire.epoch);
  walk(item.promised, wire.promised);
  walk(item.known, wire.known);
}

template <class Walker>
auto Walk(Walker& walk, program::install& item, InstallT& wire) -> void {
  walk(item.replicas, wire.replicas);
  walk(item.state, wire.state);
}

template <class Walker>
auto Walk(Walker& walk, program::install_ack& item, InstallAckT& wire) -> void {
  walk(item.program, wire.program);
  walk(item.epoch, wire.epoch);
}

template <class Walker>
auto Walk(Walker& walk, program::late_settlement& item, LateSettlementT& wire)
    -> void {
  walk(item.program, wire.program);
  walk(item.attempt, wire.attempt);
  walk(item.update, wire.update);
  walk(item.endpoint, wire.endpoint);
  walk(item.holds_memory, wire.holds_memory);
}

template <class Walker>
auto Walk(Walker& walk,
          program::late_settlement_ack& item,
          LateSettlementAckT& wire) -> void {
  walk(item.program, wire.program);
  walk(item.attempt, wire.attempt);
  walk(item.is_gone, wire.is_gone);
}

template <class Walker>
auto Walk(Walker& walk, program::locate& item, LocateT& wire) -> void {
  walk(item.request, wire.request);
  walk(item.program, wire.program);
}

template <class Walker>
auto Walk(Walker& walk, program::locate_reply& item, LocateReplyT& wire)
    -> void {
  walk(item.request, wire.request);
  walk(item.program, wire.program);
  walk(item.replicas, wire.replicas);
}

template <class Walker>
auto Walk(Walker& walk, program::discard& item, DiscardT& wire) -> void {
  walk(item.program, wire.program);
  walk(item.epoch, wire.epoch);
}

}  // namespace daisywind::program_wire

#endif  // DAISYWIND_PROGRAM_WIRE_FIELD_LISTS_H_
