// Intervals, time limits and bounds of a migration.
#ifndef DAISYWIND_MIGRATION_MIGRATION_OPTIONS_H_
#define DAISYWIND_MIGRATION_MIGRATION_OPTIONS_H_

#include <compare>
#include <cstdint>

#include "common/time.h"

namespace daisywind::migration {

struct migration_options {
  // Time to live of the reconciler's lease.
  duration lease_time_to_live = 15s;
  // No order is sent in this last part of a lease, so that an order in flight
  // arrives before the lease can be granted to another VM.
  duration lease_margin = 4s;
  duration lease_renewal_interval = 3s;
  // Interval at which a VM without the lease tries to acquire it.
  duration lease_retry_interval = 5s;
  // Number of live VMs, chosen by a hash of their ids, that try to acquire the
  // lease.
  std::uint32_t lease_candidates = 3;
  // Intervals between report requests to endpoints in transition, to those that
  // wait to load or are retained until replaced, and to settled ones.
  duration active_read_interval = 1s;
  duration waiting_read_interval = 1s;
  duration settled_read_interval = 30s;
  // A report request that is not answered within this time is repeated.
  duration read_timeout = 2s;
  // A report older than this plus the read interval is too old to act on.
  duration report_lifetime = 5s;
  // Up to this many live VMs read at the full rate. With more, VMs without the
  // lease read less often, so that the load on an endpoint stays the same.
  std::uint32_t readers_at_full_rate = 8;
  // An endpoint is warm once reports have shown it loaded for this long.
  duration warm_up = 2s;
  // Delay before an order without effect is sent again. It doubles with each
  // attempt up to the maximum.
  duration order_retry_delay = 5s;
  duration max_order_retry_delay = 40s;
  // Time allowed for the response to an order.
  duration order_timeout = 5s;
  duration release_interval = 2s;
  // An endpoint is drained once reports have shown it idle for this long. Until
  // then a VM may still send to it.
  duration drain_idle_period = 3s;
  // After being idle for this long, an endpoint is emptied even if programs
  // still hold memory there.
  duration session_grace = 30s;
  // Number of endpoints that may pull from the weight store concurrently.
  std::uint32_t max_concurrent_loads = 4;
  // A load that takes longer than this no longer counts against
  // `max_concurrent_loads`.
  duration slow_load_threshold = std::chrono::minutes{5};
  // Endpoints that are no longer configured are removed from the table once
  // they have been unreachable for this long.
  duration unreachable_removal_delay = std::chrono::minutes{30};
  // Interval between decisions when no event triggers one earlier.
  duration decision_interval = 500ms;
  // Average rate of report requests to the endpoints of each read interval. The
  // intervals grow with the number of endpoints to stay within it.
  std::uint32_t reads_per_second = 5;
  // Maximum numbers of commands per tick.
  std::uint32_t max_reads_per_tick = 20;
  std::uint32_t max_orders_per_tick = 20;

  auto operator<=>(const migration_options&) const = default;
};

}  // namespace daisywind::migration

#endif  // DAISYWIND_MIGRATION_MIGRATION_OPTIONS_H_
