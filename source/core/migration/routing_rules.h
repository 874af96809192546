// Decides which endpoints may get new work. Every VM decides for itself.
#ifndef DAISYWIND_MIGRATION_ROUTING_RULES_H_
#define DAISYWIND_MIGRATION_ROUTING_RULES_H_

#include <cstdint>
#include <map>
#include <string>

#include "common/time.h"
#include "migration/endpoint_table.h"
#include "migration/events.h"
#include "migration/migration_options.h"
#include "migration/wanted_state.h"

namespace daisywind::migration {

// Number of endpoints of each name that are ready to take over.
using ready_counts = std::map<std::string, std::uint32_t>;

// Counts the ready endpoints of each name that `need` lists.
auto CountReady(const endpoint_table& table,
                const wanted_state& wanted,
                instant now,
                const migration_options& options) -> ready_counts;

// Marks the endpoints that should leave by configuration but have to serve
// until others replace them. As long as the ready endpoints of a name are
// fewer than its need, all leaving endpoints that serve it go on, and drained
// ones that are to be emptied come back as far as they are needed.
auto HoldForNeed(endpoint_table& table,
                 const wanted_state& wanted,
                 instant now,
                 const migration_options& options) -> void;

// Whether the endpoint may get new work now, and why not.
auto DecideRouting(const endpoint_row& row,
                   instant now,
                   const migration_options& options) -> routing_state;

// Whether an endpoint that is to serve is loaded and warm.
auto IsReady(const endpoint_row& row,
             const wanted_state& wanted,
             instant now,
             const migration_options& options) -> bool;

}  // namespace daisywind::migration

#endif  // DAISYWIND_MIGRATION_ROUTING_RULES_H_
