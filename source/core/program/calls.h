// Admission of calls at the owner: order, keys, history and budget.
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

auto OnDoubtDelivered(system_tables& tables, const in_doubt_delivered& item)
    -> void;

// Admits the calls that wait for their turn, as far as they can go on.
auto AdmitWaiting(system_tables& tables, program_copy& copy) -> void;

// True when a worst case fits what is left of the budget.
auto FitsBudget(const system_tables& tables,
                const program_copy& copy,
                const budget& worst) -> bool;

// Replies to a request for a program that is not owned here.
auto RedirectRequest(system_tables& tables,
                     const vm_ref& from,
                     request_id request,
                     const program_handle& handle,
                     bool is_owner_silent) -> void;

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_CALLS_H_
