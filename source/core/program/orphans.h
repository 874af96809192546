// Release of engine memory that belongs to programs whose copies are all lost.
#ifndef DAISYWIND_PROGRAM_ORPHANS_H_
#define DAISYWIND_PROGRAM_ORPHANS_H_

#include "program/tables.h"

namespace daisywind::program {

// Asks other VMs about listed programs that are not known here, and releases
// the memory of those that no VM has known for the orphan time-out. A wrong
// release only costs a cache miss.
auto OnSessionsListed(system_tables& tables, const sessions_listed& item)
    -> void;

// Another VM knows the program, so its memory is no orphan.
auto ForgetOrphan(system_tables& tables, const program_id& program) -> void;

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_ORPHANS_H_
