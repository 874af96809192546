// Converts configurations and member lists to the types of the policy,
// migration and program libraries.
#ifndef DAISYWIND_GATEWAY_CONVERSIONS_H_
#define DAISYWIND_GATEWAY_CONVERSIONS_H_

#include <map>
#include <vector>

#include "configuration/document.h"
#include "membership/member.h"
#include "migration/events.h"
#include "migration/wanted_state.h"
#include "policy/types.h"
#include "program/types.h"

namespace daisywind::gateway {

using routing_table = std::map<endpoint_id, migration::routing_state>;

// The endpoints with the roles that the current routing allows. An endpoint
// that accepts no new work is draining even if it is configured as serving.
auto ToPolicyEndpoints(const configuration::document& document,
                       const routing_table& routing)
    -> std::vector<policy::endpoint_info>;

// Whether each model and service that the configuration needs has an endpoint
// that accepts new work.
auto HasRequiredEndpoints(const configuration::document& document,
                          const routing_table& routing) -> bool;

// Shares, class ranks and rate limits of all organisations.
auto ToPolicyOrganisations(const configuration::document& document)
    -> std::vector<policy::organisation_policy>;

// The minimum number of serving endpoints of each model and service.
auto ToPolicyNeeds(const configuration::document& document)
    -> std::vector<policy::target_need>;

// The state that a migration to a configuration version has to reach.
auto ToWantedState(version_number number,
                   const configuration::document& document)
    -> migration::wanted_state;

// The live members as the program library expects them.
auto ToProgramMembers(const membership::member_list& members)
    -> std::vector<program::member>;

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_CONVERSIONS_H_
