// Replies of the owner to the entry VMs that wait for calls.
#ifndef DAISYWIND_PROGRAM_REPLIES_H_
#define DAISYWIND_PROGRAM_REPLIES_H_

#include <string>

#include "program/tables.h"

namespace daisywind::program {

// Adds a waiting entry VM to a call, or updates it if it already waits.
auto AddWaiter(live_call& call, const call_waiter& waiter) -> void;

// Sends each waiter of a streamed call the text that it lacks. A waiter whose
// delivered text does not match the call's text is told that its stream is
// lost.
auto SendText(system_tables& tables, const program_copy& copy, live_call& call)
    -> void;

// Sends the complete answer to all waiters of a call and removes them.
auto SendAnswer(system_tables& tables,
                const program_copy& copy,
                live_call& call,
                const call_answer& answer) -> void;

// Answers one entry VM from the record of a call. Returns false when the record
// has no answer.
auto SendRecorded(system_tables& tables,
                  const program_copy& copy,
                  const call_record& record,
                  bool is_stream,
                  const call_waiter& waiter) -> bool;

// Refuses one request.
auto SendProblem(system_tables& tables,
                 const program_copy& copy,
                 const vm_ref& to,
                 request_id request,
                 const problem& refusal) -> void;

// Refuses all waiters of a call and removes them.
auto SendProblem(system_tables& tables,
                 const program_copy& copy,
                 live_call& call,
                 const problem& refusal) -> void;

// Refuses a program that could not be opened.
auto FailOpen(system_tables& tables, program_copy& copy, refusal_reason reason)
    -> void;

// Makes a refusal whose detail text is the name of the reason.
auto MakeProblem(outcome result, refusal_reason reason) -> problem;

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_REPLIES_H_
