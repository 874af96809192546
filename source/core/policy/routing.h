// Strategies that choose the endpoint of a call.
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

// What a choice is made from. The candidates offer the call's target and are in
// ascending order; whether each may be used now is asked of `endpoints`.
struct route_context {
  const call_request& call;
  std::span<const endpoint_index> candidates;
  const endpoint_table& endpoints;
  const cache_view& cache;
  const cost_model& costs;
  const link_cost_model& link;
  random_source& random;
  instant now;
  // How long the call has been waiting.
  duration waited{0};
  // Whether endpoints over their concurrency limit are left out.
  bool respects_limits = true;
  // Whether endpoints that run a suspect of a crash are left out.
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

  // Chooses an endpoint. Returns nothing when the call should wait.
  virtual auto Choose(const route_context& context)
      -> std::optional<endpoint_index> = 0;
};

// Makes a strategy.
auto MakeRouting(routing_kind kind) -> std::unique_ptr<routing_strategy>;

// Whether a call may go to an endpoint now or later: usable, and not excluded
// for the call.
auto IsAllowed(const route_context& context, endpoint_index index) -> bool;

// Whether a call may go to an endpoint now: allowed, and under its limit when
// limits are respected.
auto IsEligible(const route_context& context, endpoint_index index) -> bool;

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_ROUTING_H_
