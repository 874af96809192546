// Position of this VM and of endpoints in the topology.
#ifndef DAISYWIND_DISPATCH_LOCATION_H_
#define DAISYWIND_DISPATCH_LOCATION_H_

#include <compare>
#include <cstdint>
#include <map>

#include "common/ids.h"
#include "dispatch/types.h"

namespace daisywind::dispatch {

// Location of this VM in the topology.
struct location {
  failure_domain_id failure_domain;
  region_id region;
  // The region of each failure domain.
  std::map<failure_domain_id, region_id> regions;

  auto operator<=>(const location&) const = default;
};

// Topological distance of an endpoint from this VM, the nearest first.
enum class distance : std::uint8_t { kSameDomain, kSameRegion, kOtherRegion };

inline auto DistanceOf(const endpoint& entry, const location& here)
    -> distance {
  if (entry.failure_domain == here.failure_domain) {
    return distance::kSameDomain;
  }
  const auto region = here.regions.find(entry.failure_domain);
  const auto is_same_region =
      region != here.regions.end() && region->second == here.region;
  return is_same_region ? distance::kSameRegion : distance::kOtherRegion;
}

}  // namespace daisywind::dispatch

#endif  // DAISYWIND_DISPATCH_LOCATION_H_
