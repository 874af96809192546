// Replies of the owner to the entry VMs that wait for it.
#ifndef DAISYWIND_PROGRAM_REPLIES_H_
#define DAISYWIND_PROGRAM_REPLIES_H_

#include <string>

#include "program/tables.h"

namespace daisywind::program {

// Adds a waiting entry VM to a call, once.
auto AddWaiter(live_call& call, const call_waiter& waiter) -> void;

// Sends the answer text that each waiter lacks. A waiter whose text differs
// from the call's is told that its stream is lost.
auto SendText(system_tables& tables, const program_copy& copy, live_call& call)
    -> void;

// Answers all waiters of a call.
auto SendAnswer(system_tables& tables,
                const program_copy& copy,
                live_call& call,
                const call_answer& answer) -> void;

// Answers one entry VM from a recorded call. Returns false when the answer is
// not kept.
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

// Refuses all waiters of a call.
auto SendProblem(system_tables& tables,
                 const program_copy& copy,
                 live_call& call,
                 const problem& refusal) -> void;

// Refuses a program that could not be opened.
auto FailOpen(system_tables& tables, program_copy& copy, refusal_reason reason)
    -> void;

// A refusal with a detail text that names the reason.
auto MakeProblem(outcome result, refusal_reason reason) -> problem;

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_REPLIES_H_
