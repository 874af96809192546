// Rendezvous hashing: which VMs watch the key-value service for the others.
#ifndef DAISYWIND_CONFIGURATION_RENDEZVOUS_H_
#define DAISYWIND_CONFIGURATION_RENDEZVOUS_H_

#include <cstddef>
#include <vector>

#include "common/ids.h"
#include "configuration/events.h"

namespace daisywind::configuration {

// Watchers in each failure domain, so that one of them may die unnoticed.
inline constexpr std::size_t kWatchersPerDomain = 2;

// The watchers of a failure domain among the live members, best first.
auto WatchersOf(const std::vector<member>& members,
                const failure_domain_id& domain) -> std::vector<member>;

// The failure domains of the members, each once, in order.
auto DomainsOf(const std::vector<member>& members)
    -> std::vector<failure_domain_id>;

}  // namespace daisywind::configuration

#endif  // DAISYWIND_CONFIGURATION_RENDEZVOUS_H_
