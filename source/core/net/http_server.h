// HTTP server: bounded in connections, sizes and time.
#ifndef DAISYWIND_NET_HTTP_SERVER_H_
#define DAISYWIND_NET_HTTP_SERVER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "common/time.h"
#include "net/http_types.h"

namespace daisywind::net {

// Bounds on what one server accepts.
struct http_limits {
  std::size_t max_head_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{8} * 1024 * 1024;
  std::size_t max_connections = 4096;
  // Time to read one whole request, from its first byte.
  duration read_timeout = 15s;
  // Time a connection may stay open between requests.
  duration idle_timeout = 75s;
  // Time a single write may take.
  duration write_timeout = 20s;
};

// One request under way and the means to answer it.
class http_exchange {
 public:
  http_exchange() = default;
  http_exchange(const http_exchange&) = delete;
  auto operator=(const http_exchange&) -> http_exchange& = delete;
  virtual ~http_exchange() = default;

  [[nodiscard]] virtual auto request() const -> const http_request& = 0;

  // Sends a whole response. Returns false when the caller is gone.
  virtual auto Respond(http_response response)
      -> boost::asio::awaitable<bool> = 0;

  // Sends the head of a chunked response. Returns false when the caller is
  // gone.
  virtual auto StartStream(http_response head)
      -> boost::asio::awaitable<bool> = 0;

  // As StartStream, but the head leaves together with the first chunk.
  virtual auto StartStreamWithFirstChunk(http_response head) -> void = 0;

  // Sends one chunk. Returns false when the caller is gone.
  virtual auto WriteChunk(std::string_view bytes)
      -> boost::asio::awaitable<bool> = 0;

  // Ends a chunked response.
  virtual auto EndStream() -> boost::asio::awaitable<bool> = 0;

  // Closes the connection at once, in the middle of a response if need be.
  virtual auto Abort() -> void = 0;

  // Completes when the caller closes its side, for use beside other work.
  virtual auto WaitForClose() -> boost::asio::awaitable<void> = 0;

  // Calls the handler once if the caller closes its side before the exchange is
  // over. Not at all when the caller sends more before that.
  virtual auto OnClose(std::function<void()> handler) -> void = 0;

  // Whether the caller has closed its side.
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

  // Binds and starts accepting; port 0 takes a free one. Returns the bound
  // port, or 0 when the address can't be had.
  auto Listen(const socket_address& address) -> std::uint16_t;

  // Replaces the limits, for connections that are open as well. The number of
  // connections is not lowered for them.
  auto UpdateLimits(const http_limits& limits) -> void;

  // Has each connection close after its next response.
  auto CloseAfterResponses() -> void;

  // Stops accepting. Requests under way go on.
  auto StopAccepting() -> void;

  // Closes every connection that is between two requests, and has the others
  // close after their response.
  auto CloseIdle() -> void;

  // Closes every connection at once, also in the middle of a response.
  auto CloseAll() -> void;

  // Number of open connections.
  [[nodiscard]] auto ConnectionCount() const -> std::size_t;

  // Number of requests whose handler has not finished.
  [[nodiscard]] auto ActiveRequestCount() const -> std::size_t;

 private:
  std::shared_ptr<state> state_;
};

}  // namespace daisywind::net

#endif  // DAISYWIND_NET_HTTP_SERVER_H_
