// Ranks the engines of a region for a program, so that all VMs send its turns
// to the engine that has its prompt cached without telling each other.
#ifndef DAISYWIND_DISPATCH_HOME_RANKING_H_
#define DAISYWIND_DISPATCH_HOME_RANKING_H_

#include <cstddef>
#include <string_view>
#include <vector>

#include "dispatch/endpoint_table.h"
#include "dispatch/location.h"

namespace daisywind::dispatch {

// Returns the first `count` of the endpoints for a key, by rendezvous hashing
// over those that are not leaving in this VM's region, or in all regions if it
// has none there. VMs that know the same endpoints compute the same ranking.
// When an endpoint leaves, only the keys that it was first for move.
auto RankHomes(const std::vector<const endpoint_state*>& endpoints,
               const location& here,
               std::string_view key,
               std::size_t count) -> std::vector<const endpoint_state*>;

}  // namespace daisywind::dispatch

#endif  // DAISYWIND_DISPATCH_HOME_RANKING_H_
