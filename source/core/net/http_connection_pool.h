// Connections of the http client and the pool of idle ones.
#ifndef DAISYWIND_NET_HTTP_CONNECTION_POOL_H_
#define DAISYWIND_NET_HTTP_CONNECTION_POOL_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/time.h"
#include "net/http_client.h"
#include "net/http_types.h"
#include "net/message_limits.h"

namespace daisywind::net {

// How far a request has come that was written to a connection.
enum class request_delivery : std::uint8_t {
  kUnderWay,
  // The server's system has acknowledged all of it.
  kReceived,
  // The connection broke before that.
  kFailed,
};

// One connection. A write may still be in progress when the response arrives.
struct pooled_connection {
  explicit pooled_connection(boost::asio::io_context& context)
      : stream(context) {}

  auto Close() -> void {
    // Closing with unread bytes resets the connection, which also tells the
    // server that the client no longer waits for the response.
    stream.close();
  }

  // How far the last request has come. On systems that do not tell what was
  // acknowledged, a request counts as received once they have taken all of it.
  [[nodiscard]] auto Delivery() -> request_delivery;

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer{kMaxParserBytes};
  std::string outgoing;
  std::size_t bytes_written = 0;
  bool is_written = true;
  bool has_write_failed = false;
  // Whether a request was sent on it.
  bool is_used = false;
  std::chrono::steady_clock::time_point idle_since;
  // How long the connection may stay idle and still be reused.
  duration keep_alive_timeout{};
};

using connection_ptr = std::shared_ptr<pooled_connection>;

// Whether a request with these options was cancelled.
auto IsCancelled(const http_options& options) -> bool;

// Not thread-safe: everything runs on the given context.
class http_connection_pool {
 public:
  http_connection_pool(boost::asio::io_context& context,
                       http_pool_options options)
      : context_(context), options_(options) {}

  // Opens a connection. Sets the error, and returns null, when that fails.
  auto Open(const socket_address& address,
            const http_options& options,
            boost::beast::error_code& error)
      -> boost::asio::awaitable<connection_ptr>;

  // Returns an idle connection that can carry a request, or null. Closes those
  // that it finds and that can't.
  auto Take(const socket_address& address) -> connection_ptr;
  [[nodiscard]] auto HasUsable(const socket_address& address) -> bool;

  // Keeps a connection after a response, or closes it if it can't be reused.
  auto Return(const socket_address& address, connection_ptr connection) -> void;

  // Closes all idle connections.
  auto Clear() -> void { idle_.clear(); }

  [[nodiscard]] auto options() const -> const http_pool_options& {
    return options_;
  }
  [[nodiscard]] auto OpenedConnections() const -> std::uint64_t {
    return opened_connections_;
  }

 private:
  boost::asio::io_context& context_;
  http_pool_options options_;
  std::uint64_t opened_connections_ = 0;
  std::map<socket_address, std::vector<connection_ptr>> idle_;
};

}  // namespace daisywind::net

#endif  // DAISYWIND_NET_HTTP_CONNECTION_POOL_H_
