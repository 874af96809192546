// Options of a scheduler: its place and the strategies that it uses.
#ifndef DAISYWIND_POLICY_OPTIONS_H_
#define DAISYWIND_POLICY_OPTIONS_H_

#include <compare>
#include <cstdint>

#include "common/ids.h"
#include "common/time.h"

namespace daisywind::policy {

// How an endpoint is chosen.
enum class routing_kind : std::uint8_t {
  kExpectedFinish,
  kRoundRobin,
  kLeastLoaded,
  kPureAffinity,
};

// In which order waiting calls are dispatched.
enum class queueing_kind : std::uint8_t {
  // By class rank, then least attained service of the program, with aging.
  kProgram,
  // First come first served by call.
  kFirstComeFirstServed,
};

// Whether work is held back at the gateway when endpoints are full.
enum class admission_kind : std::uint8_t { kAdaptive, kUnlimited };

struct scheduler_options {
  region_id region;
  failure_domain_id failure_domain;
  // Gateways that share the endpoints, this one included.
  std::uint32_t gateways = 1;
  routing_kind routing = routing_kind::kExpectedFinish;
  queueing_kind queueing = queueing_kind::kProgram;
  admission_kind admission = admission_kind::kAdaptive;
  // Of the link between regions, each way, for all gateways of the region.
  double link_bits_per_second = 30e6;
  duration link_delay = 20ms;
  // A sent call without progress for this long is hung.
  duration hang_timeout = 30s;

  auto operator<=>(const scheduler_options&) const = default;
};

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_OPTIONS_H_
