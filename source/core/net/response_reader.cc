#include "net/response_reader.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <string>
#include <string_view>

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

// Whether a line of a head or trailer begins with a blank. The parser joins
// such a line to the value of the field before it.
auto HasFoldedLine(std::string_view lines) -> bool {
  return lines.find("\n ") != std::string_view::npos ||
         lines.find("\n\t") != std::string_view::npos;
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
