// Client-side load balancing: selects a gateway for each attempt of a call.
#ifndef DAISYWIND_LOAD_GATEWAY_POOL_H_
#define DAISYWIND_LOAD_GATEWAY_POOL_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "common/random.h"
#include "common/time.h"
#include "net/http_types.h"

namespace daisywind::load {

// Picks uniformly at random among the gateways that have not refused a
// connection within the last kDownTime.
class gateway_pool {
 public:
  // Time for which a gateway that refused a connection is not picked.
  static constexpr duration kDownTime = 1s;

  gateway_pool(const std::vector<net::socket_address>& addresses,
               random_source& random);

  // Prefers a gateway that is up and differs from the last one. When there is
  // none, picks among all gateways.
  auto Pick(instant now, const std::optional<net::socket_address>& last)
      -> net::socket_address;

  // Excludes a gateway from selection for kDownTime.
  auto MarkDown(const net::socket_address& address, instant now) -> void;

 private:
  struct gateway {
    net::socket_address address;
    instant down_until;
  };

  std::vector<gateway> gateways_;
  random_source& random_;
};

}  // namespace daisywind::load

#endif  // DAISYWIND_LOAD_GATEWAY_POOL_H_
