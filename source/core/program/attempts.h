// Attempts of calls at endpoints: from the grant of a slot to the recorded end.
#ifndef DAISYWIND_PROGRAM_ATTEMPTS_H_
#define DAISYWIND_PROGRAM_ATTEMPTS_H_

#include "program/tables.h"

namespace daisywind::program {

// Asks routing for a slot.
auto AcquireEndpoint(system_tables& tables,
                     program_copy& copy,
                     const live_key& key,
                     live_call& call) -> void;

// Goes on with an idempotent call whose last attempt this owner did not see
// end: first at the endpoint that has it, else by a fresh attempt.
auto ResumeAttempt(system_tables& tables,
                   program_copy& copy,
                   const live_key& key,
                   live_call& call,
                   const call_record& record) -> void;

// Waits for a late settlement or the service's word on a call in doubt.
auto WaitInDoubt(system_tables& tables,
                 program_copy& copy,
                 const live_key& key,
                 live_call& call,
                 const call_record& record) -> void;

// Goes on with all that waited for updates to be recorded.
auto OnRecorded(system_tables& tables, program_copy& copy) -> void;

// Takes in the end of an attempt of an earlier epoch.
auto TakeLateUpdate(system_tables& tables,
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
