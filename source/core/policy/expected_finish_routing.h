// Routing by the expected time until a call is finished.
#ifndef DAISYWIND_POLICY_EXPECTED_FINISH_ROUTING_H_
#define DAISYWIND_POLICY_EXPECTED_FINISH_ROUTING_H_

#include <optional>
#include <vector>

#include "policy/routing.h"

namespace daisywind::policy {

// Compares the endpoints that hold the longest prefixes with a few random ones,
// so that gateways with equally old reports don't all choose the same. A call
// waits for a full endpoint while that costs less than computing its prefix
// elsewhere.
class expected_finish_routing : public routing_strategy {
 public:
  auto Choose(const route_context& context)
      -> std::optional<endpoint_index> override;

 private:
  auto CollectOptions(const route_context& context) -> void;

  std::vector<cache_holder> options_;
};

// Expected time until a call is finished at an endpoint that holds the first
// `cached_tokens` of its prompt, without its own decoding but with the time by
// which computing its prompt delays the calls that run there.
auto ExpectedFinish(const route_context& context,
                    endpoint_index index,
                    double cached_tokens) -> seconds;

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_EXPECTED_FINISH_ROUTING_H_
