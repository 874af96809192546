#include "repeating_endpoint.h"

#include <boost/asio.hpp>
#include <memory>
#include <utility>

namespace daisywind::gateway {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

using response_source = std::shared_ptr<std::function<std::string()>>;

auto Serve(tcp::socket socket, response_source next_response)
    -> asio::awaitable<void> {
  constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);
  auto received = std::string{};
  auto last = std::string{};
  while (true) {
    const auto [error, size] = co_await asio::async_read_until(
        socket, asio::dynamic_buffer(received), "\r\n\r\n", kAsTuple);
    if (error) {
      co_return;
    }
    received.erase(0, size);
    const auto response = (*next_response)();
    const auto bytes = last + response;
    last = response;
    co_await asio::async_write(socket, asio::buffer(bytes), kAsTuple);
  }
}

auto Accept(tcp::acceptor acceptor, response_source next_response)
    -> asio::awaitable<void> {
  while (true) {
    auto socket = co_await acceptor.async_accept(asio::use_awaitable);
    const auto executor = socket.get_executor();
    asio::co_spawn(executor, Serve(std::move(socket), next_response),
                   asio::detached);
  }
}

}  // namespace

auto StartRepeatingEndpoint(asio::io_context& context,
                            std::function<std::string()> next_response)
    -> std::uint16_t {
  auto acceptor = tcp::acceptor(context, {asio::ip::address_v4::loopback(), 0});
  const auto port = acceptor.local_endpoint().port();
  asio::co_spawn(context,
                 Accept(std::move(acceptor),
                        std::make_shared<std::function<std::string()>>(
                            std::move(next_response))),
                 asio::detached);
  return port;
}

}  // namespace daisywind::gateway
