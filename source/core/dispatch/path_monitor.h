// Tells whether this VM reaches endpoints at all, as opposed to the failure of
// a single endpoint.
#ifndef DAISYWIND_DISPATCH_PATH_MONITOR_H_
#define DAISYWIND_DISPATCH_PATH_MONITOR_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>

#include "common/ids.h"
#include "common/time.h"

namespace daisywind::dispatch {

// What this VM can use to send a request to an endpoint.
enum class path_state : std::uint8_t {
  // Any connection.
  kOpen,
  // A new connection only: requests at several endpoints go unanswered, so open
  // connections may be dead. A new one shows that its endpoint is reachable.
  kSilent,
  // An open connection only: new ones fail.
  kNoNewConnections,
  // Nothing.
  kClosed,
};

auto PathStateName(path_state state) -> std::string_view;

struct path_monitor_options {
  // Failed attempts to connect, each to another endpoint and without a success
  // in between, after which new connections count as impossible.
  std::size_t failed_endpoints = 3;
  // Time without a byte from any endpoint, while several owe a response, after
  // which open connections are in doubt. Engines send a token every few tens of
  // milliseconds; a single endpoint may pause for a second and more.
  duration max_silence = 500ms;
  // Number of endpoints that must owe a response for that.
  std::size_t silent_endpoints = 2;

  auto operator<=>(const path_monitor_options&) const = default;
};

// Derives the path state from what requests and probes show. Reads no clock:
// callers pass the time.
class path_monitor {
 public:
  explicit path_monitor(path_monitor_options options = {})
      : options_(options) {}

  // A request was handed to a connection to the endpoint, and its attempt has
  // ended in whatever way.
  auto OnRequestSent(const endpoint_id& endpoint, instant now) -> void;
  auto OnRequestEnded(const endpoint_id& endpoint) -> void;

  // Bytes of a response have arrived.
  auto OnReceived(instant now) -> void;

  // A new connection to an endpoint was established, or failed. `endpoints` is
  // the number of endpoints that this VM knows: if there are few, the failure
  // of each of them counts.
  auto OnConnected(instant now) -> void;
  auto OnConnectFailed(const endpoint_id& endpoint, std::size_t endpoints)
      -> void;

  // The state at a time. Silence that it finds lasts until something arrives.
  [[nodiscard]] auto State(instant now) -> path_state;

  // When a byte or a new connection last came from any endpoint.
  [[nodiscard]] auto LastReceived() const -> std::optional<instant> {
    return received_at_;
  }

 private:
  path_monitor_options options_;
  std::optional<instant> received_at_;
  // When the oldest request that is in flight was sent, or the last byte
  // arrived if that was later.
  std::optional<instant> waiting_since_;
  // Number of requests in flight by endpoint.
  std::map<endpoint_id, std::uint32_t> in_flight_;
  // Endpoints to which no connection could be opened since the last success.
  std::set<endpoint_id> unreachable_;
  bool can_connect_ = true;
  // Set until something is received again, so that the end of the requests that
  // went unanswered does not make dead connections usable.
  bool is_silent_ = false;
};

}  // namespace daisywind::dispatch

#endif  // DAISYWIND_DISPATCH_PATH_MONITOR_H_
