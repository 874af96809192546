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

// What entitles this VM to give orders: the fencing number of its lease, and
// when the lease was granted. Reports from before that time may be overtaken by
// orders of an earlier reconciler.
struct order_authority {
  std::uint64_t fence = 0;
  instant since{};

  auto operator<=>(const order_authority&) const = default;
};

// An order that an endpoint needs.
struct planned_order {
  endpoint_id endpoint;
  engine_order wanted;
  // The endpoint will pull from the weight store.
  bool is_load = false;
  // The endpoint will stop serving a model meanwhile.
  bool is_disruptive = false;

  auto operator<=>(const planned_order&) const = default;
};

// The state that the endpoint should be ordered into now.
auto NextOrder(const endpoint_row& row,
               const wanted_state& wanted,
               instant now,
               const migration_options& options) -> engine_order;

// Whether the report shows that the order is in force or being carried out.
// Engines that check the fencing number must have seen the given one, which
// shuts out earlier reconcilers. The version is not compared, since most
// versions change no endpoint.
auto IsInForce(const endpoint_row& row,
               const engine_order& order,
               std::uint64_t fence) -> bool;

// The orders to send now under the given authority. Loads beyond the
// bound wait; those that are let through alternate between failure domains and
// models, the ones short of their need first.
auto PlanOrders(const endpoint_table& table,
                const wanted_state& wanted,
                const order_authority& authority,
                instant now,
                const migration_options& options) -> std::vector<planned_order>;

}  // namespace daisywind::migration

#endif  // DAISYWIND_MIGRATION_ORDER_PLANNER_H_
