// Engine memory of programs whose copies are all lost.
#ifndef DAISYWIND_PROGRAM_ORPHANS_H_
#define DAISYWIND_PROGRAM_ORPHANS_H_

#include "program/tables.h"

namespace daisywind::program {

// Asks around for programs that are not known here, and releases what nobody
// has known for the bound. A wrong release costs a cache miss, nothing else.
auto OnSessionsListed(system_tables& tables, const sessions_listed& item)
    -> void;

// Somebody knows the program.
auto ForgetOrphan(system_tables& tables, const program_id& program) -> void;

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_ORPHANS_H_
