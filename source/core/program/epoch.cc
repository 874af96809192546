#include "program/epoch.h"

#include <algorithm>
#include <utility>

#include "program/attempts.h"
#include "program/lifecycle.h"
#include "program/reconfiguration.h"
#include "program/release.h"
#include "program/replication.h"
#include "program/retire.h"

namespace daisywind::program {
namespace {

auto SnapshotState(const system_tables& tables, const program_copy& copy)
    -> program_state {
  auto state = copy.state;
  state.age = tables.now - copy.opened;
  return state;
}

// Sends the state to a new owner at another VM, and schedules resends until the
// new owner acknowledges it or the report time-out has passed since the first
// resend.
auto StartTransfer(system_tables& tables,
                   const program_copy& copy,
                   const replica_set& replicas) -> void {
  auto transfer = transfer_record{};
  transfer.replicas = replicas;
  transfer.state = SnapshotState(tables, copy);
  transfer.first_resend = tables.now + tables.options.resend_interval;
  Send(tables, replicas.owner, install{replicas, transfer.state});
  Arm(tables, transfer.first_resend, transfer_timer{copy.state.id});
  tables.transfers[copy.state.id] = std::move(transfer);
}

auto EraseCopy(system_tables& tables, const program_id& program) -> void {
  tables.copies.erase(program);
  tables.reconfigurations.erase(program);
}

// Ends this VM's role in the epoch of the copy after a newer replica set has
// been decided. Sends the state to the new owner if that may lack it.
auto Retire(system_tables& tables,
            program_copy& copy,
            const replica_set& replicas) -> void {
  const auto program = copy.state.id;
  const auto was_owner = copy.role == copy_role::kOwner;
  const auto is_next = replicas.epoch == copy.replicas.epoch + 1;
  const auto new_owner_has_copy = replicas.owner == copy.replicas.owner ||
                                  replicas.owner == copy.replicas.witness;
  if (is_next && (was_owner || !new_owner_has_copy)) {
    StartTransfer(tables, copy, replicas);
  }
  if (was_owner) {
    RetireCalls(tables, copy, replicas);
  }
  if (is_next && replicas.witness == tables.self) {
    // The new owner cannot become active without this witness, so this VM's
    // copy serves as the provisional state until the new owner sends its own.
    copy.replicas = replicas;
    copy.role = copy_role::kWitness;
    copy.is_active = true;
    copy.is_closed = false;
    copy.is_provisional = true;
    copy.sequence = 0;
    copy.outbox.clear();
    copy.out_of_order.clear();
    ArmCopy(tables, copy, tables.now + tables.options.resend_interval);
    return;
  }
  EraseCopy(tables, program);
}

auto Activate(system_tables& tables, program_copy& copy) -> void {
  copy.is_active = true;
  if (!copy.installer.empty()) {
    Send(tables, copy.installer,
         install_ack{copy.state.id, copy.replicas.epoch});
    copy.installer = vm_ref{};
  }
  FinishOpen(tables, copy);
  ReleaseUnused(tables, copy);
  OnRecorded(tables, copy);
  ArmCopy(tables, copy, tables.now + tables.options.resend_interval);
}

auto SendInstallToWitness(system_tables& tables, program_copy& copy) -> void {
  copy.next_resend = tables.now + tables.options.resend_interval;
  Send(tables, copy.replicas.witness,
       install{copy.replicas, SnapshotState(tables, copy)});
  ArmCopy(tables, copy, copy.next_resend);
}

// Replaces this VM's copy of the program, if any, by the received state.
auto ReplaceCopy(system_tables& tables, const install& item) -> program_copy& {
  auto copy = program_copy{};
  copy.state = item.state;
  copy.opened = tables.now - item.state.age;
  copy.last_activity = tables.now;
  const auto program = item.state.id;
  tables.reconfigurations.erase(program);
  auto& stored = tables.copies[program];
  stored = std::move(copy);
  return stored;
}

auto InstallAsWitness(system_tables& tables,
                      const vm_ref& from,
                      const install& item) -> void {
  const auto* known = FindCopy(tables, item.state.id);
  const auto is_repeat =
      known != nullptr && known->replicas.epoch == item.replicas.epoch;
  // A provisional copy that is already closed takes no state and sends no
  // acknowledgement.
  if (is_repeat && known->is_provisional && known->is_closed) {
    return;
  }
  if (!is_repeat || known->is_provisional) {
    auto& copy = ReplaceCopy(tables, item);
    copy.replicas = item.replicas;
    copy.role = copy_role::kWitness;
    copy.is_active = true;
    ArmCopy(tables, copy, tables.now + tables.options.audit_period);
  }
  Send(tables, from, install_ack{item.state.id, item.replicas.epoch});
}

auto InstallAsOwner(system_tables& tables,
                    const vm_ref& from,
                    const install& item) -> void {
  auto* known = FindCopy(tables, item.state.id);
  if (known != nullptr && known->replicas.epoch == item.replicas.epoch) {
    known->installer = from;
    if (known->is_active) {
      Send(tables, from, install_ack{item.state.id, item.replicas.epoch});
      known->installer = vm_ref{};
    }
    return;
  }
  // Keeps the local copy of the previous epoch, unless the replaced owner sent
  // the state: that is at least as recent as the copy of its witness.
  const auto keeps_local_copy =
      known != nullptr && known->replicas.epoch + 1 == item.replicas.epoch &&
      from != known->replicas.owner;
  auto& copy = keeps_local_copy ? *known : ReplaceCopy(tables, item);
  copy.installer = from;
  BecomeOwner(tables, copy, item.replicas);
}

// Sends the result of a retired attempt to the owner as a late settlement.
auto SendReport(system_tables& tables, const retired_attempt& attempt) -> void {
  const auto& program = attempt.attempt.call.program;
  const auto known = KnownSet(tables, program);
  auto report = late_settlement{};
  report.program = program;
  report.attempt = attempt.attempt.number;
  report.update = attempt.update;
  report.endpoint = attempt.endpoint;
  report.holds_memory = attempt.kind == call_kind::kChat;
  Send(tables, known.owner, report);
}

// Erases a retired attempt whose report is pending. `releases_memory` also
// releases the engine memory that it holds. Searches from the first attempt of
// the program, since an acknowledgement does not name the branch.
auto EraseRetired(system_tables& tables,
                  const program_id& program,
                  attempt_number number,
                  bool releases_memory) -> void {
  const auto first = tables.retired.lower_bound(
      attempt_ref{call_ref{program, branch_id{}, 0}, 0});
  const auto found =
      std::find_if(first, tables.retired.end(), [&](const auto& entry) {
        return entry.first.call.program != program ||
               entry.first.number == number;
      });
  const auto is_other =
      found != tables.retired.end() && found->first.call.program != program;
  if (is_other) {
    return;
  }
  if (found == tables.retired.end() || !found->second.is_report_pending) {
    return;
  }
  if (releases_memory && found->second.kind == call_kind::kChat) {
    StartRelease(tables, release_key{found->second.endpoint, program});
  }
  tables.retired.erase(found);
}

}  // namespace

auto LearnReplicaSet(system_tables& tables,
                     const program_id& program,
                     const replica_set& replicas) -> void {
  StoreReference(tables, program, replicas);
  auto* copy = FindCopy(tables, program);
  if (copy == nullptr || copy->replicas.epoch >= replicas.epoch) {
    return;
  }
  tables.reconfigurations.erase(program);
  const auto is_next = replicas.epoch == copy->replicas.epoch + 1;
  if (is_next && replicas.owner == tables.self) {
    BecomeOwner(tables, *copy, replicas);
    return;
  }
  Retire(tables, *copy, replicas);
}

auto BecomeOwner(system_tables& tables,
                 program_copy& copy,
                 const replica_set& replicas) -> void {
  if (copy.role == copy_role::kWitness && !copy.replicas.owner.empty()) {
    ++tables.takeovers;
  }
  StoreReference(tables, copy.state.id, replicas);
  copy.replicas = replicas;
  copy.state.last_attempt =
      std::max(copy.state.last_attempt, AttemptBase(replicas.epoch));
  copy.role = copy_role::kOwner;
  copy.is_closed = false;
  copy.is_active = false;
  copy.is_provisional = false;
  copy.is_releasing = false;
  copy.sequence = 0;
  copy.acknowledged = 0;
  copy.outbox.clear();
  copy.out_of_order.clear();
  copy.inactive_since = tables.now;
  copy.last_activity = tables.now;
  for (auto& [key, call] : copy.live) {
    call.sequence = 0;
  }
  for (auto& control : copy.controls) {
    control.sequence = 0;
  }
  if (replicas.witness.empty()) {
    Activate(tables, copy);
    return;
  }
  SendInstallToWitness(tables, copy);
}

auto CheckInstall(system_tables& tables, program_copy& copy) -> void {
  if (copy.is_active || tables.now < copy.next_resend) {
    return;
  }
  SendInstallToWitness(tables, copy);
}

auto CheckTransfer(system_tables& tables, const program_id& program) -> void {
  const auto found = tables.transfers.find(program);
  if (found == tables.transfers.end()) {
    return;
  }
  auto& transfer = found->second;
  const auto known = KnownSet(tables, program);
  const auto is_over =
      known.epoch > transfer.replicas.epoch ||
      tables.now > transfer.first_resend + tables.options.report_timeout;
  if (is_over) {
    tables.transfers.erase(found);
    return;
  }
  Send(tables, transfer.replicas.owner,
       install{transfer.replicas, transfer.state});
  Arm(tables, tables.now + tables.options.resend_interval,
      transfer_timer{program});
}

auto CheckRetired(system_tables& tables, const attempt_ref& attempt) -> void {
  const auto found = tables.retired.find(attempt);
  if (found == tables.retired.end()) {
    return;
  }
  const auto& program = attempt.call.program;
  const auto& item = found->second;
  if (item.is_report_pending &&
      KnownSet(tables, program).epoch == kEndedEpoch) {
    EraseRetired(tables, program, attempt.number, true);
    return;
  }
  if (tables.now > item.since + tables.options.report_timeout) {
    const auto is_unacknowledged = item.is_report_pending;
    if (is_unacknowledged) {
      // No owner has acknowledged the report in time. Drops it, but releases
      // the engine memory that the attempt holds. An attempt that still runs is
      // kept.
      EraseRetired(tables, program, attempt.number, true);
      return;
    }
  }
  if (item.is_report_pending) {
    SendReport(tables, item);
  }
  Arm(tables, tables.now + tables.options.resend_interval,
      retired_timer{attempt});
}

auto EndRetired(system_tables& tables, const attempt_ended& ended) -> bool {
  const auto found = tables.retired.find(ended.attempt);
  if (found == tables.retired.end() || found->second.is_report_pending) {
    return false;
  }
  auto& item = found->second;
  const auto& call = ended.attempt.call;
  if (item.has_slot) {
    tables.out.emplace_back(
        release_endpoint_slot{call, item.endpoint, ended.result});
    item.has_slot = false;
  }
  const auto key = live_key{call.branch, call.turn};
  const auto is_proved_not_run = ended.result == attempt_result::kNotSent ||
                                 ended.result == attempt_result::kRefusedNotRun;
  if (ended.result == attempt_result::kAnswered) {
    item.update = SettlementOf(key, ended.attempt.number, item.history_digest,
                               item.history_size, ended, item.text);
  } else if (is_proved_not_run) {
    item.update = withdrawal{call.branch, call.turn, ended.attempt.number};
  }
  item.is_report_pending = true;
  item.since = tables.now;
  SendReport(tables, item);
  return true;
}

auto ExtendRetired(system_tables& tables, const attempt_output& output)
    -> void {
  const auto found = tables.retired.find(output.attempt);
  if (found == tables.retired.end()) {
    return;
  }
  auto& text = found->second.text;
  if (found->second.is_stream && output.offset == text.size()) {
    text += BytesOf(output.bytes);
  }
}

auto OnInstall(system_tables& tables, const vm_ref& from, const install& item)
    -> void {
  const auto& program = item.state.id;
  const auto known = KnownSet(tables, program);
  if (known.epoch > item.replicas.epoch) {
    Send(tables, from, locate_reply{0, program, known});
    return;
  }
  StoreReference(tables, program, item.replicas);
  if (item.replicas.owner == tables.self) {
    InstallAsOwner(tables, from, item);
  } else if (item.replicas.witness == tables.self) {
    InstallAsWitness(tables, from, item);
  }
}

auto OnInstallAck(system_tables& tables,
                  const vm_ref& from,
                  const install_ack& item) -> void {
  const auto transfer = tables.transfers.find(item.program);
  const auto ends_transfer = transfer != tables.transfers.end() &&
                             transfer->second.replicas.epoch == item.epoch &&
                             transfer->second.replicas.owner == from;
  if (ends_transfer) {
    tables.transfers.erase(transfer);
    return;
  }
  auto* copy = FindOwned(tables, item.program);
  const auto fits = copy != nullptr && copy->replicas.epoch == item.epoch &&
                    copy->replicas.witness == from && !copy->is_active;
  if (fits) {
    Activate(tables, *copy);
  }
}

auto OnLateSettlement(system_tables& tables,
                      const vm_ref& from,
                      const late_settlement& item) -> void {
  auto* copy = FindOwned(tables, item.program);
  if (copy == nullptr) {
    const auto known = KnownSet(tables, item.program);
    if (known.epoch == kEndedEpoch) {
      Send(tables, from, late_settlement_ack{item.program, item.attempt, true});
    } else if (known.epoch != 0) {
      Send(tables, from, locate_reply{0, item.program, known});
    }
    return;
  }
  if (!MayAct(*copy)) {
    return;
  }
  if (item.update) {
    ApplyLateUpdate(tables, *copy, *item.update);
  }
  if (item.holds_memory) {
    AddHolder(tables, *copy, item.endpoint);
  }
  Send(tables, from, late_settlement_ack{item.program, item.attempt, false});
}

auto OnLateSettlementAck(system_tables& tables, const late_settlement_ack& item)
    -> void {
  EraseRetired(tables, item.program, item.attempt, item.is_gone);
}

auto OnDiscard(system_tables& tables, const discard& item) -> void {
  const auto known = KnownSet(tables, item.program);
  if (known.epoch <= item.epoch) {
    DropProgram(tables, item.program, known);
  }
}

auto DropProgram(system_tables& tables,
                 const program_id& program,
                 const replica_set& replicas) -> void {
  auto over = replicas;
  over.epoch = kEndedEpoch;
  if (auto* copy = FindCopy(tables, program)) {
    if (copy->role == copy_role::kOwner) {
      RetireCalls(tables, *copy, over);
    }
  }
  StoreReference(tables, program, over);
  EraseCopy(tables, program);
  tables.votes.erase(program);
  tables.transfers.erase(program);
}

}  // namespace daisywind::program
