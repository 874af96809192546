// Opening, branching, ending, expiry and handover of programs.
#ifndef DAISYWIND_PROGRAM_LIFECYCLE_H_
#define DAISYWIND_PROGRAM_LIFECYCLE_H_

#include "program/tables.h"

namespace daisywind::program {

// Makes a program with this VM as owner. The request is answered once the
// witness has the state.
auto OpenProgram(system_tables& tables, const open_program& item) -> void;

// Answers the request that opened a program.
auto FinishOpen(system_tables& tables, program_copy& copy) -> void;

// Starts and joins branches, ends programs, tells their state.
auto OnForwardControl(system_tables& tables,
                      const vm_ref& from,
                      const forward_control& item) -> void;

// Answers the requests whose updates are recorded.
auto AnswerControls(system_tables& tables, program_copy& copy) -> void;

// Goes on with the end of a program: release, then discard. May drop the copy.
auto CheckEnding(system_tables& tables, program_copy& copy) -> void;

// Everything that is due for a copy at this time. May drop the copy.
auto CheckCopy(system_tables& tables, const program_id& program) -> void;

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_LIFECYCLE_H_
