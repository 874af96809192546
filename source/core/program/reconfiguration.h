// Reconfiguration of a program's replica set. The members of an epoch decide
// the replica set of the next epoch with single-decree Paxos.
#ifndef DAISYWIND_PROGRAM_RECONFIGURATION_H_
#define DAISYWIND_PROGRAM_RECONFIGURATION_H_

#include <set>

#include "program/tables.h"

namespace daisywind::program {

// Proposes a replica set with this VM as owner that replaces the suspected
// members where other VMs are available.
auto ProposeRepair(system_tables& tables,
                   program_copy& copy,
                   const std::set<vm_ref>& suspects) -> void;

// Proposes a replica set with the witness as owner and without this VM.
auto ProposeHandover(system_tables& tables, program_copy& copy) -> void;

// The members of the copy's replica set that are not live.
auto LostMembers(const system_tables& tables, const program_copy& copy)
    -> std::set<vm_ref>;

// True when the replica set should be replaced. For a witness: the owner is
// lost. For an owner: a member is lost or leaving, or a place is empty although
// a VM is available for it.
auto NeedsRepair(const system_tables& tables, const program_copy& copy) -> bool;

// Resends the messages of the proposal, or starts a higher ballot.
auto CheckReconfiguration(system_tables& tables, const program_id& program)
    -> void;

auto OnPrepare(system_tables& tables, const vm_ref& from, const prepare& item)
    -> void;
auto OnPromise(system_tables& tables, const vm_ref& from, const promise& item)
    -> void;
auto OnAccept(system_tables& tables, const vm_ref& from, const accept& item)
    -> void;
auto OnAccepted(system_tables& tables, const vm_ref& from, const accepted& item)
    -> void;
auto OnBallotRefused(system_tables& tables, const ballot_refused& item) -> void;

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_RECONFIGURATION_H_
