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

}  // namespace daisywind

#endif  // DAISYWIND_COMMON_VM_LOCATION_H_
