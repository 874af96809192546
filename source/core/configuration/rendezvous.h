// Rendezvous hashing that chooses the VMs that watch the key-value service on
// behalf of their failure domain.
#ifndef DAISYWIND_CONFIGURATION_RENDEZVOUS_H_
#define DAISYWIND_CONFIGURATION_RENDEZVOUS_H_

#include <cstddef>
#include <vector>

#include "common/ids.h"
#include "configuration/events.h"

namespace daisywind::configuration {

// Watchers per failure domain. With two, the failure of one does not interrupt
// the watching.
inline constexpr std::size_t kWatchersPerDomain = 2;

// The watchers of a failure domain among the live members, highest hash score
// first.
auto WatchersOf(const std::vector<member>& members,
                const failure_domain_id& domain) -> std::vector<member>;

// The distinct failure domains of the members, in ascending order.
auto DomainsOf(const std::vector<member>& members)
    -> std::vector<failure_domain_id>;

}  // namespace daisywind::configuration

#endif  // DAISYWIND_CONFIGURATION_RENDEZVOUS_H_
