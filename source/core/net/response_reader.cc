#include "net/response_reader.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <string>
#include <string_view>

#include "common/time.h"

namespace daisywind::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);
constexpr auto kMaxReadBytes = std::size_t{64} * 1024;

constexpr auto kDeliveryPollInterval = duration(5ms);

// Waits until the server has received the whole request. A read that returns
// the end of the stream does not rule out a reset: the kernel reports that to
// one call only, which may be the write of the request.
auto WaitForDelivery(pooled_connection& connection,
                     response_reader::time_point until)
    -> asio::awaitable<beast::error_code> {
  auto timer = asio::steady_timer(connection.stream.get_executor());
  auto delivery = connection.Delivery();
  while (delivery == request_delivery::kUnderWay) {
    if (std::chrono::steady_clock::now() >= until) {
      co_return beast::error::timeout;
    }
    timer.expires_after(kDeliveryPollInterval);
    co_await timer.async_wait(kAsTuple);
    delivery = connection.Delivery();
  }
  co_return delivery == request_delivery::kReceived
      ? beast::error_code{}
      : asio::error::connection_reset;
}

// Whether a line of a head or trailer begins with whitespace. The parser joins
// such a line to the value of the field before it.
auto HasFoldedLine(std::string_view lines) -> bool {
  return lines.find("\n ") != std::string_view::npos ||
         lines.find("\n\t") != std::string_view::npos;
}

}  // namespace

response_reader::response_reader(std::size_t max_body_bytes) {
  parser_.body_limit(max_body_bytes);
}

auto response_reader::ReadHead(pooled_connection& connection, time_point until)
    -> asio::awaitable<beast::error_code> {
  co_return co_await ReadStep(connection, until);
}

auto response_reader::ReadBody(pooled_connection& connection,
                               std::span<char> space,
                               time_point until) -> asio::awaitable<body_read> {
  auto& body = parser_.get().body();
  body.data = space.data();
  body.size = space.size();
  auto error = co_await ReadStep(connection, until);
  if (error == http::error::need_buffer) {
    error = {};
  }
  co_return body_read{error, space.size() - body.size};
}

auto response_reader::Head() const -> http_response {
  const auto& from = parser_.get();
  auto to = http_response{};
  to.status = from.result_int();
  for (const auto& field : from) {
    to.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  return to;
}

auto response_reader::Framing() const -> body_framing {
  if (parser_.chunked()) {
    return body_framing::kChunks;
  }
  return parser_.need_eof() ? body_framing::kConnection : body_framing::kLength;
}

auto response_reader::ReadStep(pooled_connection& connection, time_point until)
    -> asio::awaitable<beast::error_code> {
  while (true) {
    const auto error = Parse(connection);
    if (error != http::error::need_more) {
      co_return error;
    }
    const auto space = beast::read_size(connection.buffer, kMaxReadBytes);
    if (space == 0) {
      co_return http::error::buffer_overflow;
    }
    const auto free = connection.buffer.prepare(space);
    connection.stream.expires_at(until);
    const auto [read_error, size] =
        co_await connection.stream.async_read_some(free, kAsTuple);
    connection.buffer.commit(size);
    if (read_error == asio::error::eof) {
      co_return co_await ReadEnd(connection, until);
    }
    if (read_error) {
      co_return read_error;
    }
  }
}

auto response_reader::Parse(pooled_connection& connection)
    -> beast::error_code {
  auto& buffer = connection.buffer;
  if (buffer.size() == 0) {
    return http::error::need_more;
  }
  const auto was_head_done = parser_.is_header_done();
  auto error = beast::error_code{};
  const auto used = parser_.put(buffer.data(), error);
  // The parser takes the trailer together with the line of the last chunk.
  const auto has_fields =
      !was_head_done || (parser_.chunked() && parser_.is_done());
  const auto* text = static_cast<const char*>(buffer.data().data());
  if (has_fields && HasFoldedLine({text, used})) {
    error = http::error::bad_field;
  }
  buffer.consume(used);
  return error;
}

auto response_reader::ReadEnd(pooled_connection& connection, time_point until)
    -> asio::awaitable<beast::error_code> {
  if (!parser_.got_some()) {
    co_return http::error::end_of_stream;
  }
  auto error = beast::error_code{};
  if (parser_.need_eof()) {
    error = co_await WaitForDelivery(connection, until);
  }
  if (!error) {
    parser_.put_eof(error);
  }
  co_return error;
}

}  // namespace daisywind::net
