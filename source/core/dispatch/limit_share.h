// Divides an endpoint's rate limit among the VMs that send requests to it.
#ifndef DAISYWIND_DISPATCH_LIMIT_SHARE_H_
#define DAISYWIND_DISPATCH_LIMIT_SHARE_H_

#include <vector>

#include "common/endpoint_key.h"
#include "common/ids.h"
#include "common/vm_location.h"

namespace daisywind::dispatch {

// Where an endpoint is.
struct endpoint_place {
  endpoint_key key = 0;
  failure_domain_id failure_domain;
  region_id region;

  auto operator<=>(const endpoint_place&) const = default;
};

// Returns the part of an endpoint's rate limit that a VM may use: equal parts
// for up to four VMs, zero for the others. VMs in the endpoint's failure domain
// come first, then those in its region. All VMs that know the same senders
// compute the same parts. Returns zero for a VM that is not among the senders.
auto LimitShare(const endpoint_place& endpoint,
                const std::vector<vm_location>& senders,
                const vm_id& self) -> double;

}  // namespace daisywind::dispatch

#endif  // DAISYWIND_DISPATCH_LIMIT_SHARE_H_
