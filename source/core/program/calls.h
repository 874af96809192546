// Admission of calls at the owner: checks of turn order, idempotency keys,
// message history and budget.
#ifndef DAISYWIND_PROGRAM_CALLS_H_
#define DAISYWIND_PROGRAM_CALLS_H_

#include "program/tables.h"

namespace daisywind::program {

auto OnForwardCall(system_tables& tables,
                   const vm_ref& from,
                   const forward_call& item) -> void;
auto OnForwardPoll(system_tables& tables,
                   const vm_ref& from,
                   const forward_poll& item) -> void;
auto OnForwardCancel(system_tables& tables,
                     const vm_ref& from,
                     const forward_cancel& item) -> void;

auto OnInDoubtDelivered(system_tables& tables, const in_doubt_delivered& item)
    -> void;

// Admits the waiting calls whose turn has come, and answers or refuses those
// whose result is now known.
auto AdmitWaiting(system_tables& tables, program_copy& copy) -> void;

// True when a call's worst-case usage fits the budget that is neither used nor
// reserved.
auto FitsBudget(const system_tables& tables,
                const program_copy& copy,
                const budget& worst) -> bool;

// Replies to a request for a program that is not owned here with the newest
// known replica set. A witness whose owner is lost, or silent according to the
// sender, also starts a takeover.
auto RedirectRequest(system_tables& tables,
                     const vm_ref& from,
                     request_id request,
                     const program_handle& handle,
                     bool is_owner_silent) -> void;

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_CALLS_H_
