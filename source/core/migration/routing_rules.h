// Decides which endpoints may receive new work. Each VM decides for itself.
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

// Number of ready endpoints by model or service name.
using ready_counts = std::map<std::string, std::uint32_t>;

// Counts the ready endpoints of each name that `need` lists.
auto CountReady(const endpoint_table& table,
                const wanted_state& wanted,
                instant now,
                const migration_options& options) -> ready_counts;

// Marks the endpoints that are to leave by configuration but have to serve
// until others replace them. While a name has fewer ready endpoints than its
// `need`, all leaving endpoints that serve it continue, and draining ones that
// are to be emptied resume serving as far as they are needed.
auto MarkRetainedEndpoints(endpoint_table& table,
                           const wanted_state& wanted,
                           instant now,
                           const migration_options& options) -> void;

// Whether the endpoint may receive new work now, with the reason.
auto DecideRouting(const endpoint_row& row,
                   instant now,
                   const migration_options& options) -> routing_state;

// Whether an endpoint that should serve is loaded and warm.
auto IsReady(const endpoint_row& row,
             const wanted_state& wanted,
             instant now,
             const migration_options& options) -> bool;

}  // namespace daisywind::migration

#endif  // DAISYWIND_MIGRATION_ROUTING_RULES_H_
