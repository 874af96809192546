// A VM and its place in the topology.
#ifndef DAISYWIND_COMMON_VM_LOCATION_H_
#define DAISYWIND_COMMON_VM_LOCATION_H_

#include <compare>

#include "common/ids.h"

namespace daisywind {

struct vm_location {
  vm_id vm;
  failure_domain_id failure_domain;
  region_id region;

  auto operator<=>(const vm_location&) const = default;
};

// Topological distance between two values that have a failure domain and a
// region: 0 within a failure domain, 1 within a region, 2 otherwise.
template <class First, class Second>
auto Distance(const First& a, const Second& b) -> int {
  if (a.failure_domain == b.failure_domain) {
    return 0;
  }
  return a.region == b.region ? 1 : 2;
}

}  // namespace daisywind

#endif  // DAISYWIND_COMMON_VM_LOCATION_H_
