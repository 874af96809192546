#include "testing/early_endpoint.h"

#include <boost/asio.hpp>
#include <memory>
#include <utility>

namespace daisywind::testing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);
// Keeps the rest of a request at the client.
constexpr auto kReceiveBufferBytes = 64 * 1024;

auto Reset(tcp::socket& socket) -> void {
  socket.set_option(asio::socket_base::linger(true, 0));
  socket.close();
}

auto ReadToEnd(tcp::socket& socket) -> asio::awaitable<void> {
  auto bytes = std::string(kReceiveBufferBytes, '\0');
  auto has_ended = false;
  while (!has_ended) {
    const auto [error, size] =
        co_await socket.async_read_some(asio::buffer(bytes), kAsTuple);
    has_ended = error.failed();
  }
}

auto EndConnection(tcp::socket& socket, connection_end end)
    -> asio::awaitable<void> {
  switch (end) {
    case connection_end::kReset:
      Reset(socket);
      break;
    case connection_end::kCloseUnread:
      socket.close();
      break;
    case connection_end::kCloseOwnDirection:
      socket.shutdown(tcp::socket::shutdown_send);
      co_await ReadToEnd(socket);
      break;
    case connection_end::kCloseOwnDirectionThenReset:
      socket.shutdown(tcp::socket::shutdown_send);
      Reset(socket);
      break;
  }
}

auto Serve(tcp::socket socket, std::shared_ptr<early_response> response)
    -> asio::awaitable<void> {
  auto request = std::string{};
  const auto [error, size] = co_await asio::async_read_until(
      socket, asio::dynamic_buffer(request), "\r\n\r\n", kAsTuple);
  if (error) {
    co_return;
  }
  co_await asio::async_write(socket, asio::buffer(response->bytes), kAsTuple);
  if (response->pause > std::chrono::milliseconds(0)) {
    auto timer = asio::steady_timer(socket.get_executor(), response->pause);
    co_await timer.async_wait(kAsTuple);
  }
  co_await EndConnection(socket, response->end);
}

auto Accept(tcp::acceptor acceptor, std::shared_ptr<early_response> response)
    -> asio::awaitable<void> {
  while (true) {
    auto socket = co_await acceptor.async_accept(asio::use_awaitable);
    const auto executor = socket.get_executor();
    asio::co_spawn(executor, Serve(std::move(socket), response),
                   asio::detached);
  }
}

}  // namespace

auto EndName(connection_end end) -> std::string {
  switch (end) {
    case connection_end::kReset:
      return "reset";
    case connection_end::kCloseUnread:
      return "closed unread";
    case connection_end::kCloseOwnDirection:
      return "own direction closed";
    case connection_end::kCloseOwnDirectionThenReset:
      return "own direction closed, then reset";
  }
  return "unknown";
}

auto StartEarlyEndpoint(asio::io_context& context, early_response response)
    -> std::uint16_t {
  auto acceptor = tcp::acceptor(context, tcp::v4());
  // Connections inherit it.
  acceptor.set_option(
      asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
  acceptor.bind({asio::ip::address_v4::loopback(), 0});
  acceptor.listen();
  const auto port = acceptor.local_endpoint().port();
  asio::co_spawn(context,
                 Accept(std::move(acceptor),
                        std::make_shared<early_response>(std::move(response))),
                 asio::detached);
  return port;
}

}  // namespace daisywind::testing
