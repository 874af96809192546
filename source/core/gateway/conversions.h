// The parts of a configuration as the decision libraries take them.
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

// The endpoints with the role that routing allows them now: an endpoint that
// takes no new work is draining, whatever the configuration says.
auto ToPolicyEndpoints(const configuration::document& document,
                       const routing_table& routing)
    -> std::vector<policy::endpoint_info>;

// Whether each model and service that the configuration needs has an endpoint
// that takes new work.
auto HasOpenEndpoints(const configuration::document& document,
                      const routing_table& routing) -> bool;

// Shares, ranks and rates of all organisations.
auto ToPolicyOrganisations(const configuration::document& document)
    -> std::vector<policy::organisation_policy>;

// The least number of serving endpoints by name.
auto ToPolicyNeeds(const configuration::document& document)
    -> std::vector<policy::target_need>;

// What the move needs of a version.
auto ToWantedState(version_number number,
                   const configuration::document& document)
    -> migration::wanted_state;

// Live members as the program library takes them.
auto ToProgramMembers(const membership::member_list& members)
    -> std::vector<program::member>;

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_CONVERSIONS_H_
