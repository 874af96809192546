// Release of the memory that engines hold for programs.
#ifndef DAISYWIND_PROGRAM_RELEASE_H_
#define DAISYWIND_PROGRAM_RELEASE_H_

#include "program/tables.h"

namespace daisywind::program {

// Tells an engine to release its memory for a program, and schedules repeats
// until the engine confirms.
auto StartRelease(system_tables& tables, const release_key& key) -> void;

// Stops repeating a release, because the program is about to use the engine
// again.
auto CancelRelease(system_tables& tables, const release_key& key) -> void;

// Repeats a release that is not confirmed.
auto CheckRelease(system_tables& tables, const release_key& key) -> void;

// Releases the memory at endpoints that are used neither by the last call of a
// branch nor by a call without a result. Called when an owner becomes active,
// as after a takeover.
auto ReleaseUnused(system_tables& tables, program_copy& copy) -> void;

// Releases all memory of an ended program.
auto ReleaseAll(system_tables& tables, program_copy& copy) -> void;

// Adds an endpoint where an attempt of an earlier epoch may have left memory.
auto AddHolder(system_tables& tables,
               program_copy& copy,
               const endpoint_id& endpoint) -> void;

auto OnReleaseConfirmed(system_tables& tables, const release_key& key) -> void;
auto OnEndpointRestarted(system_tables& tables, const endpoint_id& endpoint)
    -> void;

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_RELEASE_H_
