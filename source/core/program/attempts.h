// Attempts to run calls at endpoints, from the grant of an endpoint slot to the
// recorded result.
#ifndef DAISYWIND_PROGRAM_ATTEMPTS_H_
#define DAISYWIND_PROGRAM_ATTEMPTS_H_

#include "program/tables.h"

namespace daisywind::program {

// Asks routing for an endpoint slot for the call.
auto AcquireEndpoint(system_tables& tables,
                     program_copy& copy,
                     const live_key& key,
                     live_call& call) -> void;

// Continues an idempotent call with a recorded attempt whose result this owner
// lacks. A chat call is first resumed at the endpoint of that attempt; any
// other call gets a new attempt.
auto ResumeAttempt(system_tables& tables,
                   program_copy& copy,
                   const live_key& key,
                   live_call& call,
                   const call_record& record) -> void;

// Waits for a late settlement, or for the lookup at the service if it supports
// one, of a non-idempotent call that is in doubt.
auto WaitInDoubt(system_tables& tables,
                 program_copy& copy,
                 const live_key& key,
                 live_call& call,
                 const call_record& record) -> void;

// Continues the calls and requests whose updates the witness has recorded.
auto OnRecorded(system_tables& tables, program_copy& copy) -> void;

// Applies the settlement or withdrawal of an attempt of an earlier epoch, if
// that attempt is still in doubt.
auto ApplyLateUpdate(system_tables& tables,
                     program_copy& copy,
                     const state_update& update) -> void;

auto OnEndpointGranted(system_tables& tables, const endpoint_granted& item)
    -> void;
auto OnEndpointRefused(system_tables& tables, const endpoint_refused& item)
    -> void;
auto OnAttemptOutput(system_tables& tables, const attempt_output& item) -> void;
auto OnAttemptEnded(system_tables& tables, const attempt_ended& item) -> void;
auto OnLookupResult(system_tables& tables, const lookup_result& item) -> void;

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_ATTEMPTS_H_
