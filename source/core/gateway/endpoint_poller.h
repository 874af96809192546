// Polls the load and cache events of the endpoints that the scheduler watches,
// and reads the platform's list of VMs.
#ifndef DAISYWIND_GATEWAY_ENDPOINT_POLLER_H_
#define DAISYWIND_GATEWAY_ENDPOINT_POLLER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/time.h"
#include "gateway/endpoint_directory.h"
#include "gateway/scheduler_adapter.h"
#include "net/http_client.h"
#include "policy/scheduler.h"

namespace daisywind::gateway {

// Polls each watched endpoint at an interval, with at most one poll of an
// endpoint in progress. Reports a crash to the scheduler when an endpoint that
// was reachable no longer is.
class endpoint_poller {
 public:
  endpoint_poller(boost::asio::io_context& context,
                  net::http_client& client,
                  const endpoint_directory& endpoints,
                  policy::scheduler& scheduler,
                  const scheduler_adapter& calls,
                  duration interval);
  endpoint_poller(const endpoint_poller&) = delete;
  auto operator=(const endpoint_poller&) -> endpoint_poller& = delete;

  // Makes an endpoint due for polling at the next tick.
  auto Expedite(const endpoint_id& endpoint) -> void;

  // Starts the polls that are due.
  auto Tick(instant now) -> void;

 private:
  struct poll_state {
    instant due;
    bool is_reading = false;
    bool was_reachable = false;
    std::uint64_t next_event = 0;
  };

  auto Poll(endpoint_id endpoint, endpoint_entry entry)
      -> boost::asio::awaitable<void>;
  auto ReadEngineLoad(const endpoint_id& endpoint, net::socket_address address)
      -> boost::asio::awaitable<bool>;
  auto ReadServiceLoad(const endpoint_id& endpoint, net::socket_address address)
      -> boost::asio::awaitable<bool>;
  auto ReadCacheEvents(const endpoint_id& endpoint, net::socket_address address)
      -> boost::asio::awaitable<void>;

  boost::asio::io_context& context_;
  net::http_client& client_;
  const endpoint_directory& endpoints_;
  policy::scheduler& scheduler_;
  const scheduler_adapter& calls_;
  duration interval_;
  std::map<endpoint_id, poll_state> states_;
};

// Reads the names of leaving VMs from the platform's list. Returns nothing when
// the list cannot be read.
auto ReadLeavingVms(net::http_client& client, net::socket_address address)
    -> boost::asio::awaitable<std::optional<std::vector<endpoint_id>>>;

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_ENDPOINT_POLLER_H_
