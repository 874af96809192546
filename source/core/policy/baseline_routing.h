// Routing strategies that serve as baselines.
#ifndef DAISYWIND_POLICY_BASELINE_ROUTING_H_
#define DAISYWIND_POLICY_BASELINE_ROUTING_H_

#include <cstddef>
#include <optional>

#include "policy/routing.h"

namespace daisywind::policy {

// Each eligible endpoint in turn.
class round_robin_routing : public routing_strategy {
 public:
  auto Choose(const route_context& context)
      -> std::optional<endpoint_index> override;

 private:
  std::size_t next_ = 0;
};

// The endpoint with the least estimated load for its capacity, ties at random.
class least_loaded_routing : public routing_strategy {
 public:
  auto Choose(const route_context& context)
      -> std::optional<endpoint_index> override;
};

// Always the endpoint that the program hashes to among the eligible ones.
class pure_affinity_routing : public routing_strategy {
 public:
  auto Choose(const route_context& context)
      -> std::optional<endpoint_index> override;
};

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_BASELINE_ROUTING_H_
