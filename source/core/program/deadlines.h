// Waits of live calls that end by time.
#ifndef DAISYWIND_PROGRAM_DEADLINES_H_
#define DAISYWIND_PROGRAM_DEADLINES_H_

#include "program/tables.h"

namespace daisywind::program {

// Ends waits that have reached their deadline. May drop the copy.
auto CheckDeadlines(system_tables& tables, program_copy& copy) -> void;

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_DEADLINES_H_
