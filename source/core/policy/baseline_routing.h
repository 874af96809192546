// Simple routing strategies, used as baselines in comparisons.
#ifndef DAISYWIND_POLICY_BASELINE_ROUTING_H_
#define DAISYWIND_POLICY_BASELINE_ROUTING_H_

#include <cstddef>
#include <optional>

#include "policy/routing.h"

namespace daisywind::policy {

// Uses the eligible endpoints in turn.
class round_robin_routing : public routing_strategy {
 public:
  auto Choose(const route_context& context)
      -> std::optional<endpoint_index> override;

 private:
  std::size_t next_ = 0;
};

// Chooses the endpoint with the least estimated load relative to its capacity;
// ties are broken at random.
class least_loaded_routing : public routing_strategy {
 public:
  auto Choose(const route_context& context)
      -> std::optional<endpoint_index> override;
};

// Chooses the eligible endpoint with the highest rendezvous hash for the
// program, so that all calls of a program go to one endpoint.
class pure_affinity_routing : public routing_strategy {
 public:
  auto Choose(const route_context& context)
      -> std::optional<endpoint_index> override;
};

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_BASELINE_ROUTING_H_
