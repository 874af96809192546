// Options of a scheduler.
#ifndef DAISYWIND_POLICY_OPTIONS_H_
#define DAISYWIND_POLICY_OPTIONS_H_

#include <compare>
#include <cstdint>

#include "common/ids.h"
#include "common/time.h"

namespace daisywind::policy {

// How the endpoint of a call is chosen.
enum class routing_kind : std::uint8_t {
  // The earliest expected finish, among endpoints that have parts of the prompt
  // cached and a few random ones.
  kExpectedFinish,
  // The eligible endpoints in turn.
  kRoundRobin,
  // The lowest estimated load relative to the capacity.
  kLeastLoaded,
  // The highest rendezvous hash for the program, so that all its calls go to
  // one endpoint.
  kPureAffinity,
};

// The order in which waiting calls are dispatched.
enum class queueing_kind : std::uint8_t {
  // By class rank, then by least attained service of the program, with aging.
  kProgram,
  // By arrival of the call, regardless of its program.
  kFirstComeFirstServed,
};

// Whether calls queue at the gateway, and can be refused, when the endpoints
// are full.
enum class admission_kind : std::uint8_t { kAdaptive, kUnlimited };

// A gateway is the process on an entry VM that schedules calls.
struct scheduler_options {
  // Region and failure domain of this gateway.
  region_id region;
  failure_domain_id failure_domain;
  // Number of gateways that share the endpoints, including this one.
  std::uint32_t gateways = 1;
  routing_kind routing = routing_kind::kExpectedFinish;
  queueing_kind queueing = queueing_kind::kProgram;
  admission_kind admission = admission_kind::kAdaptive;
  // Bandwidth of the link between regions in each direction, shared by all
  // gateways of the region.
  double link_bits_per_second = 30e6;
  // One-way delay of the link.
  duration link_delay = 20ms;
  // A call that was sent and shows no progress for this long is reported as
  // hung.
  duration hang_timeout = 30s;

  auto operator<=>(const scheduler_options&) const = default;
};

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_OPTIONS_H_
