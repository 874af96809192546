#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <memory>
#include <string>

#include "net/http_client.h"
#include "net/http_server.h"

namespace daisywind::net {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// Runs the context until the given coroutine has finished.
auto RunUntilDone(asio::io_context& context, asio::awaitable<void> work)
    -> void {
  asio::co_spawn(context, std::move(work),
                 [&](const std::exception_ptr& error) {
                   context.stop();
                   if (error) {
                     std::rethrow_exception(error);
                   }
                 });
  context.run();
}

auto Echo(http_exchange& exchange) -> asio::awaitable<void> {
  if (exchange.request().Path() == "/stream") {
    co_await exchange.StartStream({200, {}, ""});
    co_await exchange.WriteChunk("one,");
    co_await exchange.WriteChunk("two");
    co_await exchange.EndStream();
    co_return;
  }
  if (exchange.request().Path() == "/cut") {
    co_await exchange.StartStream({200, {}, ""});
    co_await exchange.WriteChunk("one,");
    exchange.Abort();
    co_return;
  }
  co_await exchange.Respond(JsonResponse(200, exchange.request().body));
}

struct fixture {
  explicit fixture(http_limits limits = {})
      : server(context, limits, Echo),
        port(server.Listen({"127.0.0.1", 0})),
        client(context) {}

  auto Send(http_request request) -> http_result {
    auto result = http_result{};
    RunUntilDone(context, [&]() -> asio::awaitable<void> {
      result = co_await client.Send({"127.0.0.1", port}, request, {});
    }());
    context.restart();
    return result;
  }

  // Writes raw bytes and returns everything received until the connection is
  // closed.
  auto SendRaw(std::string bytes) -> std::string {
    auto answer = std::string{};
    RunUntilDone(context, [&]() -> asio::awaitable<void> {
      auto socket = tcp::socket(context);
      co_await socket.async_connect({asio::ip::make_address("127.0.0.1"), port},
                                    asio::use_awaitable);
      co_await asio::async_write(socket, asio::buffer(bytes),
                                 asio::as_tuple(asio::use_awaitable));
      co_await asio::async_read(socket, asio::dynamic_buffer(answer),
                                asio::as_tuple(asio::use_awaitable));
    }());
    context.restart();
    return answer;
  }

  asio::io_context context;
  http_server server;
  std::uint16_t port;
  http_client client;
};

}  // namespace

TEST_CASE("a second request reuses the connection of the first") {
  auto net = fixture();
  for (const auto* body : {"{}", "[1]"}) {
    const auto result = net.Send({"POST", "/", {}, body});
    CHECK(result.outcome == http_outcome::kAnswered);
    CHECK(result.response.body == body);
  }
  CHECK(net.server.ConnectionCount() == 1);
}

TEST_CASE("a streamed response arrives complete") {
  auto net = fixture();
  const auto result = net.Send({"GET", "/stream", {}, ""});
  CHECK(result.outcome == http_outcome::kAnswered);
  CHECK(result.response.body == "one,two");
}

TEST_CASE("a truncated response has the outcome kNoAnswer") {
  auto net = fixture();
  const auto result = net.Send({"GET", "/cut", {}, ""});
  CHECK(result.outcome == http_outcome::kNoAnswer);
}

TEST_CASE("a refused connection has the outcome kNotSent") {
  auto net = fixture();
  net.server.StopAccepting();
  const auto result = net.Send({"GET", "/", {}, ""});
  CHECK(result.outcome == http_outcome::kNotSent);
}

TEST_CASE("oversized and malformed requests get an error response") {
  auto limits = http_limits{};
  limits.max_body_bytes = 10;
  limits.max_head_bytes = 1024;
  auto net = fixture(limits);
  CHECK(net.Send({"POST", "/", {}, std::string(11, 'x')}).response.status ==
        413);
  CHECK(
      net.Send({"GET", "/" + std::string(2000, 'x'), {}, ""}).response.status ==
      431);
  CHECK(net.SendRaw("nonsense\r\n\r\n").starts_with("HTTP/1.1 400"));
  CHECK(net.Send({"POST", "/", {}, "{}"}).response.status == 200);
}

TEST_CASE("a request that arrives too slowly gets an error response") {
  auto limits = http_limits{};
  limits.read_timeout = 50ms;
  auto net = fixture(limits);
  CHECK(net.SendRaw("POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc")
            .starts_with("HTTP/1.1 408"));
}

TEST_CASE("connections beyond the limit are closed and the others stay open") {
  auto limits = http_limits{};
  limits.max_connections = 1;
  auto net = fixture(limits);
  CHECK(net.Send({"POST", "/", {}, "{}"}).response.status == 200);
  CHECK(net.SendRaw("GET / HTTP/1.1\r\n\r\n").empty());
  CHECK(net.Send({"POST", "/", {}, "{}"}).response.status == 200);
}

}  // namespace daisywind::net
