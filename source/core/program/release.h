// Release of the engine memory that is held for programs.
#ifndef DAISYWIND_PROGRAM_RELEASE_H_
#define DAISYWIND_PROGRAM_RELEASE_H_

#include "program/tables.h"

namespace daisywind::program {

// Tells an engine to release, and repeats it until the engine confirms.
auto StartRelease(system_tables& tables, const release_key& key) -> void;

// The engine is about to be used for the program again.
auto CancelRelease(system_tables& tables, const release_key& key) -> void;

// Repeats a release.
auto CheckRelease(system_tables& tables, const release_key& key) -> void;

// After a takeover: releases at the endpoints that no branch used last.
auto ReleaseUnused(system_tables& tables, program_copy& copy) -> void;

// Releases everything that is held for an ended program.
auto ReleaseAll(system_tables& tables, program_copy& copy) -> void;

// An attempt of an earlier epoch may have left memory at an endpoint.
auto NoteHolder(system_tables& tables,
                program_copy& copy,
                const endpoint_id& endpoint) -> void;

auto OnReleaseConfirmed(system_tables& tables, const release_key& key) -> void;
auto OnEndpointRestarted(system_tables& tables, const endpoint_id& endpoint)
    -> void;

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_RELEASE_H_
