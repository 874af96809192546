// The ways from this VM to the endpoints: its own connections and, while it
// reaches none, other fronts that relay its attempts.
#ifndef DAISYWIND_FRONT_ENDPOINT_PATHS_H_
#define DAISYWIND_FRONT_ENDPOINT_PATHS_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/ids.h"
#include "common/random.h"
#include "common/time.h"
#include "common/vm_location.h"
#include "dispatch/endpoint_table.h"
#include "dispatch/path_monitor.h"
#include "history/limit_registry.h"
#include "net/http_client.h"

namespace daisywind::front {

// How one attempt reaches its endpoint.
struct attempt_path {
  // The front that makes the attempt; empty for this VM itself.
  std::optional<history::sender_state> relay;
  net::connection_use connection = net::connection_use::kAny;

  auto operator<=>(const attempt_path&) const = default;
};

// Timing of probes and relays.
struct endpoint_paths_options {
  // Time between probes while this VM can't use every kind of connection, and
  // the number of endpoints that are probed at a time.
  duration probe_interval = 250ms;
  std::size_t probed_endpoints = 2;
  duration probe_timeout = 400ms;
  // How long a relay that failed is not chosen.
  duration relay_pause = 1s;
};

// The endpoint table and the client must outlive it.
class endpoint_paths {
 public:
  // `on_change` is called after each change of the path state.
  endpoint_paths(boost::asio::io_context& context,
                 vm_location self,
                 const dispatch::endpoint_table& endpoints,
                 net::http_client& client,
                 std::function<void()> on_change,
                 endpoint_paths_options options = {});

  auto Start() -> void;
  auto Stop() -> void;

  // Lets a request to an endpoint report to the monitor. The options must not
  // outlive this object.
  auto Observe(const endpoint_id& endpoint, net::http_options& options) -> void;

  // A request was handed to the client, and its attempt has ended.
  auto OnRequestSent(const endpoint_id& endpoint) -> void;
  auto OnRequestEnded(const endpoint_id& endpoint) -> void;

  // The fronts that are alive, as the journals know them.
  auto SetFronts(std::vector<history::sender_state> fronts) -> void;
  auto OnRelayFailed(const vm_id& relay) -> void;

  // Whether endpoints can be reached with any connection.
  [[nodiscard]] auto IsOpen() -> bool;
  // Whether new connections to endpoints can be expected to succeed.
  [[nodiscard]] auto CanConnect() -> bool;
  // Whether no endpoint can be reached without a relay.
  [[nodiscard]] auto IsClosed() -> bool;
  // Whether an attempt can be made at all.
  [[nodiscard]] auto IsUsable() -> bool;

  // Returns a front near this one that reaches endpoints, or nothing when no
  // front but the excluded ones does.
  [[nodiscard]] auto PickRelay(const std::set<vm_id>& excluded)
      -> std::optional<history::sender_state>;

  // Returns how to reach an endpoint at an address, or nothing when neither
  // this VM nor another front does.
  [[nodiscard]] auto Choose(const net::socket_address& address,
                            const std::set<vm_id>& excluded)
      -> std::optional<attempt_path>;

  // Updates the state and logs its changes.
  auto Tick(instant now) -> void;

 private:
  auto Probe() -> boost::asio::awaitable<void>;
  auto ProbeOne(endpoint_id endpoint, net::socket_address address)
      -> boost::asio::awaitable<void>;
  auto Update() -> dispatch::path_state;

  boost::asio::io_context& context_;
  vm_location self_;
  const dispatch::endpoint_table& endpoints_;
  net::http_client& client_;
  std::function<void()> on_change_;
  endpoint_paths_options options_;
  random_source random_;
  dispatch::path_monitor monitor_;
  dispatch::path_state state_ = dispatch::path_state::kOpen;
  std::vector<history::sender_state> fronts_;
  // Until when a relay is not chosen.
  std::map<vm_id, instant> relay_pauses_;
  boost::asio::steady_timer timer_;
  bool is_stopped_ = false;
};

}  // namespace daisywind::front

#endif  // DAISYWIND_FRONT_ENDPOINT_PATHS_H_
