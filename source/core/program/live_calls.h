// Live calls, which are the calls that an owner works on: finding and ending
// them.
#ifndef DAISYWIND_PROGRAM_LIVE_CALLS_H_
#define DAISYWIND_PROGRAM_LIVE_CALLS_H_

#include <vector>

#include "program/tables.h"

namespace daisywind::program {

// A live call with its program. `copy` is null when the program is not owned
// here, and `call` is null when the call is not live.
struct live_entry {
  program_copy* copy = nullptr;
  live_key key;
  live_call* call = nullptr;
};

// Finds a live call.
auto FindLive(system_tables& tables, const call_ref& name) -> live_entry;

// A copy of the keys of all live calls, for loops that may erase calls.
auto LiveKeys(const program_copy& copy) -> std::vector<live_key>;

auto CallRefOf(const program_copy& copy, const live_key& key) -> call_ref;

// Releases the endpoint slot of the call, if it has one.
auto ReleaseSlot(system_tables& tables,
                 const program_copy& copy,
                 const live_key& key,
                 live_call& call,
                 attempt_result result) -> void;

// Erases a live call and admits the calls that waited for it. May erase the
// copy.
auto EraseCall(system_tables& tables, program_copy& copy, const live_key& key)
    -> void;

// Refuses a live call and erases it. May erase the copy.
auto RefuseCall(system_tables& tables,
                program_copy& copy,
                const live_key& key,
                const problem& refusal) -> void;

// The outcome to report for a call that gets no further attempt: not run if
// that is certain, otherwise unknown.
auto OutcomeWithoutAttempt(const program_copy& copy, const live_key& key)
    -> outcome;

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_LIVE_CALLS_H_
