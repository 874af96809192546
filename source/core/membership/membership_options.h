// Tunable times and counts of the membership protocol.
#ifndef DAISYWIND_MEMBERSHIP_MEMBERSHIP_OPTIONS_H_
#define DAISYWIND_MEMBERSHIP_MEMBERSHIP_OPTIONS_H_

#include <compare>
#include <cstdint>

#include "common/time.h"

namespace daisywind::membership {

struct membership_options {
  // One member is probed in each interval.
  duration probe_interval = 1s;
  // A probe without an ack for this long is repeated through relays. It must
  // exceed the longest round trip between regions.
  duration ack_timeout = 300ms;
  // Relays asked for each probe that was not answered directly.
  std::uint32_t relay_count = 3;
  // A suspicion lasts this many probe intervals, times log2 of the live
  // members, before the member is taken as dead.
  double suspicion_factor = 1.0;
  duration min_suspicion = 3s;
  // A record is sent along this many times, times log2 of the live members.
  double retransmit_factor = 3.0;
  // Interval between offers of the view's digest to a random member.
  duration sync_interval = 10s;
  // Interval of these offers after a page that brought something new.
  duration catch_up_interval = 2s;
  // Interval between pings to a random dead member, which let the two sides of
  // a healed partition find each other.
  duration reconnect_interval = 5s;
  // Dead and left members are forgotten after this long.
  duration forget_after = std::chrono::hours{24};
  // Interval between joins while no other member is known.
  duration join_interval = 1s;
  // Ticks further apart than this mean that this process was paused: nothing
  // is concluded from answers missed in the meantime.
  duration pause_threshold = 500ms;
  // Shortest interval of lease renewals; the time to live is three times it.
  duration min_lease_interval = 20s;
  // The whole fleet together renews at most one lease in this interval.
  duration fleet_lease_interval = 100ms;
  // The whole fleet together reads the lease keys once in this interval.
  duration fleet_read_interval = 10s;

  auto operator<=>(const membership_options&) const = default;
};

}  // namespace daisywind::membership

#endif  // DAISYWIND_MEMBERSHIP_MEMBERSHIP_OPTIONS_H_
