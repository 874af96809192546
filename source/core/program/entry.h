// The entry role: forwards requests of local callers to the program's owner and
// returns its answers to them.
#ifndef DAISYWIND_PROGRAM_ENTRY_H_
#define DAISYWIND_PROGRAM_ENTRY_H_

#include "program/tables.h"

namespace daisywind::program {

auto OnCallArrived(system_tables& tables, const call_arrived& item) -> void;
auto OnControlArrived(system_tables& tables, const control_arrived& item)
    -> void;
auto OnCallerDisconnected(system_tables& tables,
                          const caller_disconnected& item) -> void;

// Answers the request that opened a program. If the program was opened for a
// single call, starts that call instead.
auto AnswerOpen(system_tables& tables,
                request_id request,
                const program_view& view) -> void;
auto RefuseOpen(system_tables& tables,
                request_id request,
                const problem& refusal) -> void;

// Resends a pending request, forwards it to the next member when the current
// one does not respond, or refuses it after the forward time-out.
auto CheckRequest(system_tables& tables, request_id request) -> void;

auto OnForwardAccepted(system_tables& tables,
                       const vm_ref& from,
                       const forward_accepted& item) -> void;
auto OnForwardRedirect(system_tables& tables,
                       const vm_ref& from,
                       const forward_redirect& item) -> void;
auto OnCallPart(system_tables& tables,
                const vm_ref& from,
                const call_part& item) -> void;
auto OnCallEnd(system_tables& tables, const vm_ref& from, const call_end& item)
    -> void;
auto OnCallProblem(system_tables& tables, const call_problem& item) -> void;
auto OnControlReply(system_tables& tables, const control_reply& item) -> void;

// Forwards the pending requests of a program to the owner of a newer replica
// set.
auto FollowSet(system_tables& tables,
               const program_id& program,
               const replica_set& replicas) -> void;

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_ENTRY_H_
