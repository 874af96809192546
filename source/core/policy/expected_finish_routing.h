// Routing to the endpoint with the earliest expected finish time.
#ifndef DAISYWIND_POLICY_EXPECTED_FINISH_ROUTING_H_
#define DAISYWIND_POLICY_EXPECTED_FINISH_ROUTING_H_

#include <optional>
#include <vector>

#include "policy/routing.h"

namespace daisywind::policy {

// Compares the endpoints with the longest cached prefixes and a few random
// ones. The random choice prevents gateways with equally old load reports from
// all choosing the same endpoint. A call waits for a full endpoint as long as
// that costs less than computing its prefix elsewhere.
class expected_finish_routing : public routing_strategy {
 public:
  auto Choose(const route_context& context)
      -> std::optional<endpoint_index> override;

 private:
  auto CollectShortlist(const route_context& context) -> void;

  std::vector<cache_holder> shortlist_;
};

// Expected time until a call finishes at an endpoint that has the first
// `cached_tokens` of its prompt cached. Excludes the decoding of the call
// itself. Includes the time by which computing its prompt delays the other
// calls running there.
auto ExpectedFinish(const route_context& context,
                    endpoint_index index,
                    double cached_tokens) -> seconds;

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_EXPECTED_FINISH_ROUTING_H_
