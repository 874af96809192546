#include "gateway/endpoint_calls.h"

#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <string>
#include <string_view>

namespace daisywind::gateway {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto kNotFound =
    std::string_view("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
constexpr auto kRan =
    std::string_view("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");

// Answers that it knows no run, until the call has run. On a kept connection it
// writes its last response once more before the next one.
auto ServeLookups(tcp::socket socket, const bool& has_run)
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
    const auto response = has_run ? kRan : kNotFound;
    const auto bytes = last + std::string(response);
    last = response;
    co_await asio::async_write(socket, asio::buffer(bytes), kAsTuple);
  }
}

}  // namespace

// Regression: an earlier response on a kept connection was taken for that of
// the next lookup, so a call that had run counted as not started.
TEST_CASE("a lookup is not answered by the response to an earlier one") {
  auto context = asio::io_context{1};
  auto acceptor = tcp::acceptor(context, {asio::ip::address_v4::loopback(), 0});
  const auto port = acceptor.local_endpoint().port();
  auto has_run = false;
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        while (true) {
          auto socket = co_await acceptor.async_accept(asio::use_awaitable);
          asio::co_spawn(context, ServeLookups(std::move(socket), has_run),
                         asio::detached);
        }
      },
      asio::detached);
  auto client = net::http_client(context);
  auto first = program::lookup_result{};
  auto second = program::lookup_result{};
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        first = co_await LookUpRun(client, {"127.0.0.1", port}, "key");
        has_run = true;
        second = co_await LookUpRun(client, {"127.0.0.1", port}, "key");
        context.stop();
      },
      asio::detached);
  context.run();
  CHECK(first.status == program::lookup_status::kNotStarted);
  CHECK(second.status == program::lookup_status::kRan);
}

}  // namespace daisywind::gateway
