// Time-outs of the calls that an owner works on.
#ifndef DAISYWIND_PROGRAM_DEADLINES_H_
#define DAISYWIND_PROGRAM_DEADLINES_H_

#include "program/tables.h"

namespace daisywind::program {

// Handles the calls whose deadline has passed. May erase the copy.
auto CheckDeadlines(system_tables& tables, program_copy& copy) -> void;

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_DEADLINES_H_
