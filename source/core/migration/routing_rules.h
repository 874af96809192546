// Decides which endpoints may get new work. Every VM decides for itself.
#ifndef DAISYWIND_MIGRATION_ROUTING_RULES_H_
#define DAISYWIND_MIGRATION_ROUTING_RULES_H_

#include <vector>

#include "common/time.h"
#include "migration/endpoint_table.h"
#include "migration/events.h"
#include "migration/migration_options.h"
#include "migration/wanted_state.h"

namespace daisywind::migration {

// Marks the endpoints that should leave by configuration but have to serve
// until others replace them. While the replacements of a name are fewer than
// its need, one leaving endpoint closes for each replacement that is ready;
// from then on all close.
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
             instant now,
             const migration_options& options) -> bool;

}  // namespace daisywind::migration

#endif  // DAISYWIND_MIGRATION_ROUTING_RULES_H_
