// HTTP client. Its outcomes say whether a request may have reached the server,
// since only then a non-idempotent request may have run.
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
  // No byte of the request left this process: it has not run.
  kNotSent,
  // The request left and no whole response came: it may have run.
  kNoAnswer,
};

// Ends a request from outside, at any moment of it.
class http_cancellation {
 public:
  // Ends the request. Its caller sees a failure.
  auto Cancel() -> void;

  [[nodiscard]] auto IsCancelled() const -> bool { return is_cancelled_; }

  // Set by the client: closes the connection in use.
  auto SetHook(std::function<void()> hook) -> void { hook_ = std::move(hook); }

 private:
  std::function<void()> hook_;
  bool is_cancelled_ = false;
};

// Bounds and choices of one request.
struct http_options {
  duration connect_timeout = 2s;
  // Time from the send to the response head.
  duration head_timeout = 30s;
  // Time between two parts of the body.
  duration idle_timeout = 30s;
  std::size_t max_body_bytes = std::size_t{16} * 1024 * 1024;
  // A pooled connection may have been closed by the server, which leaves the
  // outcome of a write open. Non-idempotent requests ask for a fresh one.
  bool use_fresh_connection = false;
  // Whether a request that failed on a pooled connection is sent again on a
  // fresh one. Never set it for a request that may run once only.
  bool resend_on_stale = true;
  // Tells an answer to this request from a late one to another. Answers that
  // are not its own are skipped.
  std::function<bool(const http_response& head)> matches_request;
  std::shared_ptr<http_cancellation> cancellation;
};

// Which pooled connections a client keeps.
struct http_pool_options {
  duration max_idle = 30s;
  std::size_t max_idle_connections_per_address = 32;
  // A server that acknowledges nothing for this long is taken as gone.
  duration dead_peer_timeout = 5s;
};

// The end of a whole exchange. The response is valid when answered.
struct http_result {
  http_outcome outcome = http_outcome::kNotSent;
  http_response response;
  std::string error;
};

// A response whose body is read in parts. Destroying it before the end closes
// the connection, which cancels the request at a server that watches for it.
class http_body_stream {
 public:
  http_body_stream() = default;
  http_body_stream(const http_body_stream&) = delete;
  auto operator=(const http_body_stream&) -> http_body_stream& = delete;
  virtual ~http_body_stream() = default;

  // The next part of the body, or nothing at its end or on a failure.
  virtual auto Next() -> boost::asio::awaitable<std::optional<std::string>> = 0;

  // True when the whole body was read.
  [[nodiscard]] virtual auto IsComplete() const -> bool = 0;

  // Closes the connection at once. A pending Next returns nothing.
  virtual auto Cancel() -> void = 0;
};

// The start of a streamed exchange. The body is null unless answered.
struct http_stream_result {
  http_outcome outcome = http_outcome::kNotSent;
  http_response head;
  std::unique_ptr<http_body_stream> body;
  std::string error;
  // True when the connection had carried another request before.
  bool is_reused = false;
};

// Sends requests over pooled connections on one context.
class http_client {
 public:
  struct state;

  explicit http_client(boost::asio::io_context& context,
                       http_pool_options pool = {});
  http_client(const http_client&) = delete;
  auto operator=(const http_client&) -> http_client& = delete;
  ~http_client();

  // Sends a request and reads the whole response.
  auto Send(socket_address address, http_request request, http_options options)
      -> boost::asio::awaitable<http_result>;

  // Sends a request and returns when the response head has arrived.
  auto Open(socket_address address, http_request request, http_options options)
      -> boost::asio::awaitable<http_stream_result>;

  // Connections opened so far.
  [[nodiscard]] auto OpenedConnections() const -> std::uint64_t;

 private:
  std::shared_ptr<state> state_;
};

}  // namespace daisywind::net

#endif  // DAISYWIND_NET_HTTP_CLIENT_H_
