#include "net/response_reader.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <string>

namespace daisywind::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);
constexpr auto kMaxReadBytes = std::size_t{64} * 1024;

// The error that broke a connection whose stream has ended, or none if the
// server closed it. The kernel reports an error to one call only: if a write
// was under way, reads see nothing but the end. Broken pipe is no such error,
// since a write gets it after the server has closed its direction.
auto ErrorBehindEnd(const pooled_connection& connection) -> beast::error_code {
  return connection.write_error == asio::error::broken_pipe
             ? beast::error_code{}
             : connection.write_error;
}

}  // namespace

response_reader::response_reader(std::size_t max_body_bytes) {
  parser_.body_limit(max_body_bytes);
}

auto response_reader::ReadHead(pooled_connection& connection)
    -> asio::awaitable<beast::error_code> {
  co_return co_await ReadStep(connection);
}

auto response_reader::ReadBody(pooled_connection& connection,
                               std::span<char> space)
    -> asio::awaitable<body_bytes> {
  auto& body = parser_.get().body();
  body.data = space.data();
  body.size = space.size();
  auto error = co_await ReadStep(connection);
  if (error == http::error::need_buffer) {
    error = {};
  }
  co_return body_bytes{error, space.size() - body.size};
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

auto response_reader::ReadStep(pooled_connection& connection)
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
    const auto [read_error, size] =
        co_await connection.stream.async_read_some(free, kAsTuple);
    connection.buffer.commit(size);
    if (read_error == asio::error::eof) {
      co_return OnEndOfStream(connection);
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
  auto error = beast::error_code{};
  buffer.consume(parser_.put(buffer.data(), error));
  return error;
}

auto response_reader::OnEndOfStream(const pooled_connection& connection)
    -> beast::error_code {
  if (!parser_.got_some()) {
    return http::error::end_of_stream;
  }
  auto error = ErrorBehindEnd(connection);
  if (!error) {
    parser_.put_eof(error);
  }
  return error;
}

}  // namespace daisywind::net
