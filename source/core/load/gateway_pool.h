// The choice of a gateway for each call, as a balancer would make it.
#ifndef DAISYWIND_LOAD_GATEWAY_POOL_H_
#define DAISYWIND_LOAD_GATEWAY_POOL_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "common/random.h"
#include "common/time.h"
#include "net/http_types.h"

namespace daisywind::load {

// Picks at random among the gateways that have not refused a connection of
// late.
class gateway_pool {
 public:
  // Time for which a gateway that refused a connection is left out.
  static constexpr duration kDownTime = 1s;

  gateway_pool(const std::vector<net::socket_address>& addresses,
               random_source& random);

  // A gateway, another one than the last if there is one. Any of them when
  // all are down.
  auto Pick(instant now, const std::optional<net::socket_address>& last)
      -> net::socket_address;

  // Leaves a gateway out for a while.
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
