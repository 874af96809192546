// The calls that an owner works on: look-up and end.
#ifndef DAISYWIND_PROGRAM_LIVE_CALLS_H_
#define DAISYWIND_PROGRAM_LIVE_CALLS_H_

#include <vector>

#include "program/tables.h"

namespace daisywind::program {

// A live call with its program; the pointers are null when there is none.
struct live_entry {
  program_copy* copy = nullptr;
  live_key key;
  live_call* call = nullptr;
};

// The live call of a name, if its program is owned here.
auto FindLive(system_tables& tables, const call_ref& name) -> live_entry;

// The keys of all live calls, for loops in which calls may end.
auto LiveKeys(const program_copy& copy) -> std::vector<live_key>;

// The name of a live call.
auto CallName(const program_copy& copy, const live_key& key) -> call_ref;

// Gives the call's slot back, if it has one.
auto ReleaseSlot(system_tables& tables,
                 const program_copy& copy,
                 const live_key& key,
                 live_call& call,
                 attempt_result result) -> void;

// Ends a live call and admits those that waited for it. May drop the copy.
auto EraseCall(system_tables& tables, program_copy& copy, const live_key& key)
    -> void;

// Refuses a live call and ends it. May drop the copy.
auto RefuseCall(system_tables& tables,
                program_copy& copy,
                const live_key& key,
                const problem& refusal) -> void;

// What is known of a call that no attempt can be made for.
auto OutcomeWithoutAttempt(const program_copy& copy, const live_key& key)
    -> outcome;

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_LIVE_CALLS_H_
