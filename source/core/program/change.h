// Changes of the replica set: single-decree Paxos among the members of an
// epoch, for the set of the next one.
#ifndef DAISYWIND_PROGRAM_CHANGE_H_
#define DAISYWIND_PROGRAM_CHANGE_H_

#include <set>

#include "program/tables.h"

namespace daisywind::program {

// Proposes the next set with this VM as owner, without the suspected members.
auto ProposeRepair(system_tables& tables,
                   program_copy& copy,
                   const std::set<vm_ref>& suspects) -> void;

// Proposes the next set with the witness as owner and this VM as none.
auto ProposeHandover(system_tables& tables, program_copy& copy) -> void;

// The members of a copy's set that are not live.
auto LostMembers(const system_tables& tables, const program_copy& copy)
    -> std::set<vm_ref>;

// True when a member of the set is lost, or absent though there is a VM for it.
auto NeedsRepair(const system_tables& tables, const program_copy& copy) -> bool;

// Repeats the messages of a proposal, or raises its ballot.
auto CheckChange(system_tables& tables, const program_id& program) -> void;

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

#endif  // DAISYWIND_PROGRAM_CHANGE_H_
