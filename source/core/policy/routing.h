// Interface of the strategies that choose the endpoint of a call.
#ifndef DAISYWIND_POLICY_ROUTING_H_
#define DAISYWIND_POLICY_ROUTING_H_

#include <memory>
#include <optional>
#include <span>

#include "common/random.h"
#include "policy/cache_view.h"
#include "policy/cost_model.h"
#include "policy/endpoint_table.h"
#include "policy/link_cost_model.h"
#include "policy/options.h"
#include "policy/types.h"

namespace daisywind::policy {

// Input of a routing decision. The candidates offer the call's target and are
// in ascending order; not all of them are usable at the moment, which
// `endpoints` tells.
struct route_context {
  const call_request& call;
  std::span<const endpoint_index> candidates;
  const endpoint_table& endpoints;
  const cache_view& cache;
  const cost_model& costs;
  const link_cost_model& link;
  random_source& random;
  instant now;
  // How long the call has been in the queue.
  duration waited{0};
  // Whether to leave out endpoints that have reached their concurrency limit.
  bool respects_limits = true;
  // Whether to leave out endpoints that are running a body suspected of causing
  // a crash.
  bool avoids_suspects = false;
};

class routing_strategy {
 public:
  routing_strategy() = default;
  virtual ~routing_strategy() = default;
  routing_strategy(const routing_strategy&) = delete;
  auto operator=(const routing_strategy&) -> routing_strategy& = delete;
  routing_strategy(routing_strategy&&) = delete;
  auto operator=(routing_strategy&&) -> routing_strategy& = delete;

  // Chooses an endpoint, or returns nothing when the call should wait.
  virtual auto Choose(const route_context& context)
      -> std::optional<endpoint_index> = 0;
};

auto MakeRouting(routing_kind kind) -> std::unique_ptr<routing_strategy>;

// Whether the endpoint is usable for the call, even if it has no free slot now:
// it accepts new calls and is not excluded.
auto IsAllowed(const route_context& context, endpoint_index index) -> bool;

// Whether the call can be sent to the endpoint now: allowed, and below the
// concurrency limit if limits are respected.
auto IsEligible(const route_context& context, endpoint_index index) -> bool;

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_ROUTING_H_
