// Transition to a decided epoch: members install, activate and retire copies of
// the program state, and report attempts of earlier epochs to the new owner.
#ifndef DAISYWIND_PROGRAM_EPOCH_H_
#define DAISYWIND_PROGRAM_EPOCH_H_

#include "program/tables.h"

namespace daisywind::program {

// Handles a decided replica set, whichever message it came in. A copy of an
// earlier epoch takes its new role or is retired.
auto LearnReplicaSet(system_tables& tables,
                     const program_id& program,
                     const replica_set& replicas) -> void;

// Makes this VM the owner in a decided replica set. The owner becomes active
// once the witness has installed the state; without a witness, at once.
auto BecomeOwner(system_tables& tables,
                 program_copy& copy,
                 const replica_set& replicas) -> void;

// Resends the state to the witness while it is not acknowledged.
auto CheckInstall(system_tables& tables, program_copy& copy) -> void;

// Resends the state to a new owner elsewhere while it is not acknowledged.
auto CheckTransfer(system_tables& tables, const program_id& program) -> void;

// Resends the report of a retired attempt. After the report time-out, drops it
// and releases the engine memory of the attempt.
auto CheckRetired(system_tables& tables, const attempt_ref& attempt) -> void;

// Handles the end of an attempt of an earlier epoch and reports it to the new
// owner. Returns false when the attempt is not a retired one.
auto EndRetired(system_tables& tables, const attempt_ended& ended) -> bool;

// Appends output to the answer text of a retired attempt.
auto ExtendRetired(system_tables& tables, const attempt_output& output) -> void;

auto OnInstall(system_tables& tables, const vm_ref& from, const install& item)
    -> void;
auto OnInstallAck(system_tables& tables,
                  const vm_ref& from,
                  const install_ack& item) -> void;
auto OnLateSettlement(system_tables& tables,
                      const vm_ref& from,
                      const late_settlement& item) -> void;
auto OnLateSettlementAck(system_tables& tables, const late_settlement_ack& item)
    -> void;
auto OnDiscard(system_tables& tables, const discard& item) -> void;

// Erases the state of an ended program at this VM. Keeps a reference that marks
// the program as ended.
auto DropProgram(system_tables& tables,
                 const program_id& program,
                 const replica_set& replicas) -> void;

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_EPOCH_H_
