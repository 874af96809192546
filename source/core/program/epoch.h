// What members do once the set of the next epoch is decided: install, activate
// and retire copies, and report attempts of earlier epochs.
#ifndef DAISYWIND_PROGRAM_EPOCH_H_
#define DAISYWIND_PROGRAM_EPOCH_H_

#include "program/tables.h"

namespace daisywind::program {

// Takes note of a decided set, from whatever message it came.
auto LearnSet(system_tables& tables,
              const program_id& program,
              const replica_set& replicas) -> void;

// Installs the state at the witness, then lets the owner act.
auto BecomeOwner(system_tables& tables,
                 program_copy& copy,
                 const replica_set& replicas) -> void;

// Repeats an install that is not acknowledged.
auto CheckInstall(system_tables& tables, program_copy& copy) -> void;

// Repeats the handing of a state to a new owner.
auto CheckTransfer(system_tables& tables, const program_id& program) -> void;

// Repeats the report of a retired attempt.
auto CheckRetired(system_tables& tables, const attempt_ref& attempt) -> void;

// Takes in the end of an attempt of an earlier epoch. Returns false when the
// attempt is not one.
auto EndRetired(system_tables& tables, const attempt_ended& ended) -> bool;

// Keeps answer text of a retired attempt.
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

// Forgets a program that is over; only a reference is kept.
auto DropProgram(system_tables& tables,
                 const program_id& program,
                 const replica_set& replicas) -> void;

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_EPOCH_H_
