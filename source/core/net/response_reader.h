// Reads the responses of a connection.
#ifndef DAISYWIND_NET_RESPONSE_READER_H_
#define DAISYWIND_NET_RESPONSE_READER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <chrono>
#include <cstddef>
#include <span>

#include "net/http_connection_pool.h"
#include "net/http_types.h"

namespace daisywind::net {

// What a read of a body has given.
struct body_read {
  boost::beast::error_code error;
  // Zero after a step without data, such as the line of a chunk.
  std::size_t size = 0;

  auto operator==(const body_read&) const -> bool = default;
};

// Reads one response: its head, and then its body until it is done. No read may
// follow an error. A line of a head or trailer that begins with whitespace is
// one: RFC 9112 (5.2) lets a gateway reject a message with such a line.
class response_reader {
 public:
  using time_point = std::chrono::steady_clock::time_point;

  // A longer body is an error.
  explicit response_reader(std::size_t max_body_bytes);

  // Reads the head. Fails if nothing more of it has arrived by `until`.
  auto ReadHead(pooled_connection& connection, time_point until)
      -> boost::asio::awaitable<boost::beast::error_code>;

  // Reads bytes of the body into `space`. Fails if none have arrived by
  // `until`. A body that ends with its connection is done only when the server
  // has received the whole request: up to then, the end may be that of a server
  // that has given up.
  auto ReadBody(pooled_connection& connection,
                std::span<char> space,
                time_point until) -> boost::asio::awaitable<body_read>;

  // The head, without a body.
  [[nodiscard]] auto Head() const -> http_response;
  [[nodiscard]] auto Framing() const -> body_framing;
  // Whether the whole response was read.
  [[nodiscard]] auto IsDone() const -> bool { return parser_.is_done(); }
  // Whether another response may follow on the connection.
  [[nodiscard]] auto KeepsConnection() const -> bool {
    return parser_.keep_alive();
  }

 private:
  // Lets the parser take its next step, the head or a part of the body.
  auto ReadStep(pooled_connection& connection, time_point until)
      -> boost::asio::awaitable<boost::beast::error_code>;
  auto Parse(pooled_connection& connection) -> boost::beast::error_code;
  // Ends the response where the server has closed its direction.
  auto ReadEnd(pooled_connection& connection, time_point until)
      -> boost::asio::awaitable<boost::beast::error_code>;

  boost::beast::http::response_parser<boost::beast::http::buffer_body> parser_;
};

}  // namespace daisywind::net

#endif  // DAISYWIND_NET_RESPONSE_READER_H_
