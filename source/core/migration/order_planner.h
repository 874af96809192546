// Decides which orders endpoints need, from what is wanted and observed alone.
#ifndef DAISYWIND_MIGRATION_ORDER_PLANNER_H_
#define DAISYWIND_MIGRATION_ORDER_PLANNER_H_

#include <cstdint>
#include <vector>

#include "common/ids.h"
#include "common/time.h"
#include "migration/endpoint_table.h"
#include "migration/migration_options.h"
#include "migration/wanted_state.h"

namespace daisywind::migration {

// An order that an endpoint needs.
struct planned_order {
  endpoint_id endpoint;
  engine_order wanted;
  // The endpoint will pull from the weight store.
  bool is_load = false;

  auto operator<=>(const planned_order&) const = default;
};

// The state that the endpoint should be ordered into now.
auto NextOrder(const endpoint_row& row,
               const wanted_state& wanted,
               instant now,
               const migration_options& options) -> engine_order;

// Whether the report shows that the order was taken under this version and
// fencing number and is still in force.
auto IsInForce(const engine_report& report,
               const engine_order& order,
               version_number version,
               std::uint64_t fence) -> bool;

// The orders to send now under the given fencing number. Loads beyond the
// bound wait; those that are let through alternate between failure domains and
// models, the ones short of their need first.
auto PlanOrders(const endpoint_table& table,
                const wanted_state& wanted,
                std::uint64_t fence,
                instant now,
                const migration_options& options) -> std::vector<planned_order>;

}  // namespace daisywind::migration

#endif  // DAISYWIND_MIGRATION_ORDER_PLANNER_H_
