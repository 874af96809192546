// HTTP server with limits on connections, message sizes and time.
#ifndef DAISYWIND_NET_HTTP_SERVER_H_
#define DAISYWIND_NET_HTTP_SERVER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "common/byte_budget.h"
#include "common/time.h"
#include "net/http_types.h"

namespace daisywind::net {

// Limits of one server.
struct http_limits {
  std::size_t max_head_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{8} * 1024 * 1024;
  // When they are used up, the connection that has waited longest for its
  // caller to send its first or the rest of a request, or to read a response,
  // is closed for a new one if that is a second or more.
  std::size_t max_connections = 4096;
  // Maximum time to read a complete request, from its first byte.
  duration read_timeout = 15s;
  // Maximum time that a connection may stay open between requests.
  duration idle_timeout = 75s;
  // Maximum time of a single write.
  duration write_timeout = 20s;
};

// Limits of a server for readiness probes and for reads of metrics, which have
// no body.
auto ProbeLimits() -> http_limits;

// Memory for the requests of such a server.
inline constexpr auto kProbeMemory = std::size_t{4} * 1024 * 1024;

// One active request and the means to respond to it.
class http_exchange {
 public:
  http_exchange() = default;
  http_exchange(const http_exchange&) = delete;
  auto operator=(const http_exchange&) -> http_exchange& = delete;
  virtual ~http_exchange() = default;

  [[nodiscard]] virtual auto request() const -> const http_request& = 0;

  // Sends a complete response. Returns false when the connection has failed.
  virtual auto Respond(http_response response)
      -> boost::asio::awaitable<bool> = 0;

  // Sends the head of a chunked response. Returns false when the connection has
  // failed.
  virtual auto StartStream(http_response head)
      -> boost::asio::awaitable<bool> = 0;

  // Like StartStream, but sends the head together with the first chunk.
  virtual auto StartStreamWithFirstChunk(http_response head) -> void = 0;

  // Sends one chunk. Returns false when the connection has failed.
  virtual auto WriteChunk(std::string_view bytes)
      -> boost::asio::awaitable<bool> = 0;

  // Ends a chunked response. Returns false when the connection has failed.
  virtual auto EndStream() -> boost::asio::awaitable<bool> = 0;

  // Resets the connection immediately, even in the middle of a response.
  virtual auto Abort() -> void = 0;

  // Completes when the client has closed its side of the connection. Can be
  // awaited concurrently with other work on the request.
  virtual auto WaitForClose() -> boost::asio::awaitable<void> = 0;

  // Calls the handler once if the client closes its side of the connection
  // before the exchange ends. It is not called if the client sends more data
  // first.
  virtual auto OnClose(std::function<void()> handler) -> void = 0;

  // Whether the client has closed its side of the connection.
  [[nodiscard]] virtual auto IsClosed() -> bool = 0;
};

using http_handler =
    std::function<boost::asio::awaitable<void>(http_exchange&)>;

// Accepts connections on one address and runs the handler for each request.
// Everything runs on the given context.
class http_server {
 public:
  struct state;

  http_server(boost::asio::io_context& context,
              http_limits limits,
              http_handler handler);
  http_server(const http_server&) = delete;
  auto operator=(const http_server&) -> http_server& = delete;
  ~http_server();

  // Binds and starts accepting; port 0 selects a free port. Returns the bound
  // port, or 0 when it could not listen on the address.
  auto Listen(const socket_address& address) -> std::uint16_t;

  // Replaces the limits, also for open connections. A lower max_connections
  // closes no open connection.
  auto UpdateLimits(const http_limits& limits) -> void;

  // Sets the memory for all requests that are being read or served: heads,
  // bodies and read-ahead. When it is used up, the request that has been
  // arriving for longest is ended, if that is a second or more; otherwise the
  // request for which it does not suffice is refused with 503. Applies to
  // connections that are accepted from then on.
  auto SetMemory(std::shared_ptr<byte_budget> memory) -> void;

  // Sets the memory for parts of responses that callers have not read. When it
  // is used up, the connection whose caller has not read for longest is reset,
  // if that is a second or more; otherwise the one for whose response it does
  // not suffice. Applies to connections that are accepted from then on.
  auto SetUnsentMemory(std::shared_ptr<byte_budget> memory) -> void;

  // Makes each connection close after its next response.
  auto CloseAfterResponses() -> void;

  // Stops accepting connections. Those that clients have established already
  // are served, and active requests continue.
  auto StopAccepting() -> void;

  // Closes every idle connection, and makes the others close after their
  // response. A connection is idle until a byte of a request has arrived.
  auto CloseIdle() -> void;

  // Resets every connection immediately, even in the middle of a response.
  auto CloseAll() -> void;

  // Number of open connections.
  [[nodiscard]] auto ConnectionCount() const -> std::size_t;

  // Number of requests of which a byte was read and whose handler has not
  // finished.
  [[nodiscard]] auto ActiveRequestCount() const -> std::size_t;

 private:
  std::shared_ptr<state> state_;
};

}  // namespace daisywind::net

#endif  // DAISYWIND_NET_HTTP_SERVER_H_
