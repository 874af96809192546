// Decides which orders endpoints need, from the wanted state and the last
// observations alone.
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

// The authority of this VM to send orders: the fencing number of its lease and
// the time at which the lease was granted. Reports from before that time may
// not reflect later orders of an earlier reconciler.
struct order_authority {
  std::uint64_t fence = 0;
  instant granted_at{};

  auto operator<=>(const order_authority&) const = default;
};

// An order that an endpoint needs.
struct planned_order {
  endpoint_id endpoint;
  engine_order wanted;
  // The endpoint will pull from the weight store.
  bool is_load = false;
  // The endpoint stops serving a model while it executes the order.
  bool is_disruptive = false;

  auto operator<=>(const planned_order&) const = default;
};

// The order for the state that the endpoint should take now.
auto NextOrder(const endpoint_row& row,
               const wanted_state& wanted,
               instant now,
               const migration_options& options) -> engine_order;

// Whether the last report shows the order in effect or in progress. Engines
// that check the fencing number must have seen the given one, so that they
// reject earlier reconcilers. The version is not compared, since most versions
// change no endpoint.
auto IsInForce(const endpoint_row& row,
               const engine_order& order,
               std::uint64_t fence) -> bool;

// The orders to send now under the given authority. Loads are limited to
// `max_concurrent_loads`. Names below their `need` go first, then the failure
// domains and models with the fewest loads in progress.
auto PlanOrders(const endpoint_table& table,
                const wanted_state& wanted,
                const order_authority& authority,
                instant now,
                const migration_options& options) -> std::vector<planned_order>;

}  // namespace daisywind::migration

#endif  // DAISYWIND_MIGRATION_ORDER_PLANNER_H_
