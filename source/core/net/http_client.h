// HTTP client. Its outcomes tell whether a request may have reached the server:
// a non-idempotent request that did not can safely be sent again.
#ifndef DAISYWIND_NET_HTTP_CLIENT_H_
#define DAISYWIND_NET_HTTP_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "common/time.h"
#include "net/http_types.h"

namespace daisywind::net {

// How a request ended.
enum class http_outcome : std::uint8_t {
  // A response head arrived.
  kAnswered,
  // No byte of the request was sent: the server has not executed it.
  kNotSent,
  // The request was sent, at least in part, but no complete response arrived:
  // the server may have executed it.
  kNoAnswer,
};

// Cancels a request in any of its phases.
class http_cancellation {
 public:
  // Cancels the request. The caller that waits for it gets a failure.
  auto Cancel() -> void;

  [[nodiscard]] auto IsCancelled() const -> bool { return is_cancelled_; }

  // Set by the client: closes the connection that the request uses.
  auto SetHook(std::function<void()> hook) -> void { hook_ = std::move(hook); }

 private:
  std::function<void()> hook_;
  bool is_cancelled_ = false;
};

// Which connection carries a request.
enum class connection_use : std::uint8_t {
  // An idle one if there is one, a new one otherwise.
  kAny,
  // A new one. The server may have closed an idle one, in which case the
  // outcome of the request is unknown.
  kNew,
  // An idle one. Without one the request is not sent.
  kIdle,
};

// When a response may take longer than its time-out.
struct timeout_extension {
  // The arrival of so many bytes of the body starts the time-out anew.
  std::size_t progress_bytes = 0;
  // Maximum time from sending the request to the end of the response.
  duration max_total{};

  auto operator<=>(const timeout_extension&) const = default;
};

// Time-outs, limits and connection handling of one request.
struct http_options {
  duration connect_timeout = 2s;
  // Maximum time from sending the request to receiving the response head,
  // including responses to other requests that are skipped before it.
  duration head_timeout = 30s;
  // Maximum time between two parts of the body.
  duration idle_timeout = 30s;
  // Maximum time from sending the request to the end of the response; unlimited
  // if empty.
  std::optional<duration> total_timeout;
  // For a large response over a slow link: one that is given up late and asked
  // for again keeps the link full. Extends `total_timeout`.
  std::optional<timeout_extension> extension;
  std::size_t max_body_bytes = std::size_t{16} * 1024 * 1024;
  // Whether a successful response is a stream of server-sent events even if its
  // media type does not say so.
  bool expects_events = false;
  // Non-idempotent requests to a server that closes idle connections without
  // notice set kNew.
  connection_use connection = connection_use::kAny;
  // Whether a request that failed on a pooled connection is sent again on a new
  // one. Must be false for a request that may be executed at most once.
  bool resend_on_stale = true;
  // Returns whether a response belongs to this request rather than being a late
  // response to another. Responses that do not match are skipped.
  // `follows_others`: earlier requests were sent or responses received on the
  // connection.
  std::function<bool(const http_response& head, bool follows_others)>
      matches_request;
  std::shared_ptr<http_cancellation> cancellation;
  // Called after an attempt to open a connection, with whether it succeeded.
  // Not called when the request was cancelled meanwhile.
  std::function<void(bool is_connected)> on_connected;
  // Called whenever a part of a response has arrived.
  std::function<void()> on_received;
};

// Limits of the connection pool of a client.
struct http_pool_options {
  duration max_idle = 30s;
  std::size_t max_idle_connections_per_address = 32;
  // A connection fails when the server has acknowledged nothing for this long.
  duration dead_peer_timeout = 5s;
};

// Result of Send. The response is complete if the outcome is kAnswered.
struct http_result {
  http_outcome outcome = http_outcome::kNotSent;
  http_response response;
  std::string error;
};

// Body of a response, read in parts. Destroying it before the end closes the
// connection, which cancels the request if the server detects that.
class http_body_stream {
 public:
  http_body_stream() = default;
  http_body_stream(const http_body_stream&) = delete;
  auto operator=(const http_body_stream&) -> http_body_stream& = delete;
  virtual ~http_body_stream() = default;

  // Returns the next part of the body, or nothing at its end or on a failure;
  // IsComplete tells the two apart.
  virtual auto Next() -> boost::asio::awaitable<std::optional<std::string>> = 0;

  // Reads the rest of the body and drops it, so that the connection can be used
  // again. Closes the connection if the body has not ended after `limit`.
  virtual auto Discard(duration limit) -> boost::asio::awaitable<void> = 0;

  // True when the complete body was read. A stream of server-sent events that
  // ends inside an event is incomplete, whatever its framing says: a body that
  // ends with its connection shows no other sign of a server that broke it off.
  // Such a body without any event is incomplete as well, and any such body
  // whose server has not received the whole request.
  [[nodiscard]] virtual auto IsComplete() const -> bool = 0;

  // What marks the end of the body.
  [[nodiscard]] virtual auto Framing() const -> body_framing = 0;

  // Bytes read after the last complete event of a stream of server-sent events;
  // zero for other bodies.
  [[nodiscard]] virtual auto PartialEventBytes() const -> std::size_t = 0;

  // Closes the connection at once. A pending Next returns nothing.
  virtual auto Cancel() -> void = 0;
};

// Result of Open. The body is null unless the outcome is kAnswered.
struct http_stream_result {
  http_outcome outcome = http_outcome::kNotSent;
  http_response head;
  std::unique_ptr<http_body_stream> body;
  std::string error;
  // True when the connection came from the pool.
  bool is_reused = false;
};

class http_connection_pool;

// Sends requests over pooled connections. Not thread-safe: everything runs on
// the given context.
class http_client {
 public:
  explicit http_client(boost::asio::io_context& context,
                       http_pool_options pool = {});
  http_client(const http_client&) = delete;
  auto operator=(const http_client&) -> http_client& = delete;
  ~http_client();

  // Sends a request and reads the complete response.
  auto Send(socket_address address, http_request request, http_options options)
      -> boost::asio::awaitable<http_result>;

  // Sends a request and returns when the response head has arrived.
  auto Open(socket_address address, http_request request, http_options options)
      -> boost::asio::awaitable<http_stream_result>;

  // Opens a connection for later use. Returns whether that succeeded.
  auto Connect(socket_address address, duration timeout)
      -> boost::asio::awaitable<bool>;

  // Whether an idle connection to an address can carry a request.
  [[nodiscard]] auto HasIdleConnection(const socket_address& address) -> bool;

  // Closes all idle connections.
  auto CloseIdleConnections() -> void;

  // Number of connections opened so far.
  [[nodiscard]] auto OpenedConnections() const -> std::uint64_t;

 private:
  std::shared_ptr<http_connection_pool> pool_;
};

}  // namespace daisywind::net

#endif  // DAISYWIND_NET_HTTP_CLIENT_H_
