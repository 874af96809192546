// Intervals, time-outs and limits of the membership protocol.
#ifndef DAISYWIND_MEMBERSHIP_MEMBERSHIP_OPTIONS_H_
#define DAISYWIND_MEMBERSHIP_MEMBERSHIP_OPTIONS_H_

#include <compare>
#include <cstdint>

#include "common/time.h"

namespace daisywind::membership {

struct membership_options {
  // Interval between two probes. Each probes one member.
  duration probe_interval = 1s;
  // A probe without an ack within this time is repeated as an indirect probe
  // through other members. It must exceed the longest round-trip time between
  // regions.
  duration ack_timeout = 300ms;
  // Number of members asked for an indirect probe.
  std::uint32_t relay_count = 3;
  // A suspected member is declared dead after this many probe intervals,
  // multiplied by log2 of the number of live members.
  double suspicion_factor = 1.0;
  duration min_suspicion_time = 3s;
  // A record is piggybacked on this many messages, multiplied by log2 of the
  // number of live members.
  double retransmit_factor = 3.0;
  // Interval of anti-entropy: how often the digest of the view is sent to a
  // random member.
  duration sync_interval = 10s;
  // Maximum delay until the next such exchange after a page that changed the
  // number of live members.
  duration catch_up_interval = 2s;
  // Interval between pings to a random dead member. They reconnect the two
  // sides of a network partition after it has healed.
  duration reconnect_interval = 5s;
  // Dead and left members are removed from the table after this time.
  duration dead_member_retention = std::chrono::hours{24};
  // Interval between join messages while no other member is known.
  duration join_interval = 1s;
  // A longer gap between two ticks means that this process was paused. Missing
  // acks are then not held against the probed members.
  duration pause_threshold = 500ms;
  // Minimum interval between lease renewals. The time to live of a lease is
  // three times its renewal interval.
  duration min_lease_interval = 20s;
  // All VMs together renew at most one lease per this interval, which limits
  // the load on the key-value service.
  duration fleet_lease_interval = 100ms;
  // All VMs together read the lease keys about once per this interval.
  duration fleet_read_interval = 10s;

  auto operator<=>(const membership_options&) const = default;
};

}  // namespace daisywind::membership

#endif  // DAISYWIND_MEMBERSHIP_MEMBERSHIP_OPTIONS_H_
