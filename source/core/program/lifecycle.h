// Opening, branching, ending, expiry and handover of programs.
#ifndef DAISYWIND_PROGRAM_LIFECYCLE_H_
#define DAISYWIND_PROGRAM_LIFECYCLE_H_

#include "program/tables.h"

namespace daisywind::program {

// Creates a program with this VM as owner. The request is answered once the
// witness has installed the state.
auto OpenProgram(system_tables& tables, const open_program& item) -> void;

// Answers the request that opened a program.
auto FinishOpen(system_tables& tables, program_copy& copy) -> void;

// Handles a forwarded request to start or join a branch, end the program or
// query its state.
auto OnForwardControl(system_tables& tables,
                      const vm_ref& from,
                      const forward_control& item) -> void;

// Answers the requests whose updates the witness has recorded.
auto AnswerControls(system_tables& tables, program_copy& copy) -> void;

// Advances the end of a program: releases its engine memory, then discards it
// at all members. May erase the copy.
auto CheckEnding(system_tables& tables, program_copy& copy) -> void;

// Runs the periodic checks of a copy. May erase the copy.
auto CheckCopy(system_tables& tables, const program_id& program) -> void;

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_LIFECYCLE_H_
