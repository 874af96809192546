// Tunable times and counts of a move.
#ifndef DAISYWIND_MIGRATION_MIGRATION_OPTIONS_H_
#define DAISYWIND_MIGRATION_MIGRATION_OPTIONS_H_

#include <compare>
#include <cstdint>

#include "common/time.h"

namespace daisywind::migration {

struct migration_options {
  // Time to live of the reconciler's lease.
  duration lease_time_to_live = 15s;
  // No order is sent in the last part of a lease, so that one on its way
  // arrives before the lease can be granted to another VM.
  duration lease_margin = 4s;
  duration lease_renewal_interval = 3s;
  // Interval at which a VM without the lease tries to acquire it.
  duration lease_retry_interval = 5s;
  // So many live VMs, by a hash of their ids, try to acquire the lease.
  std::uint32_t lease_candidates = 3;
  // Interval of reports from endpoints on their way, from those that wait or
  // stand in for others, and from settled ones.
  duration active_read_interval = 1s;
  duration waiting_read_interval = 1s;
  duration settled_read_interval = 30s;
  // A request for a report is repeated when it is not answered in this time.
  duration read_timeout = 2s;
  // A report older than this, plus the interval of the reports, proves nothing.
  duration report_lifetime = 5s;
  // Up to this many VMs without the lease read at the active interval; more of
  // them read less often, so that the load on an endpoint stays the same.
  std::uint32_t readers_at_full_rate = 8;
  // An endpoint is warm when it has been seen loaded for this long.
  duration warm_up = 2s;
  // Time after which an order without effect is sent again, doubled with each
  // attempt up to the bound.
  duration order_retry = 5s;
  duration max_order_retry = 40s;
  // Time in which an answer to an order is expected.
  duration order_timeout = 5s;
  duration release_interval = 2s;
  // An endpoint is drained when it has been seen idle for this long. Until
  // then a VM may still send to it.
  duration drain_quiet = 3s;
  // Memory of programs that is not released after this time of idleness does
  // not keep the endpoint from being emptied.
  duration session_grace = 30s;
  // Endpoints that may pull from the weight store at once.
  std::uint32_t max_loading = 4;
  // A load that takes longer makes room for others.
  duration load_patience = std::chrono::minutes{5};
  // Endpoints that are no longer configured and do not answer are forgotten
  // after this long.
  duration forget_after = std::chrono::minutes{30};
  // Interval of decisions while nothing changes.
  duration decision_interval = 500ms;
  // Reports asked for on average from the endpoints of each interval. The
  // intervals grow with the number of endpoints to keep to it.
  std::uint32_t reads_per_second = 5;
  // Bounds of the commands of one tick.
  std::uint32_t max_reads_per_tick = 20;
  std::uint32_t max_orders_per_tick = 20;

  auto operator<=>(const migration_options&) const = default;
};

}  // namespace daisywind::migration

#endif  // DAISYWIND_MIGRATION_MIGRATION_OPTIONS_H_
