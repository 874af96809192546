#include "kv/client.h"

#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <chrono>
#include <cstddef>
#include <string>
#include <utility>

#include "net/http_server.h"

namespace daisywind::kv {
namespace {

namespace asio = boost::asio;

constexpr auto kHeader = R"({"header":{"revision":"4"}})";
constexpr auto kWatchCreated = R"({"result":{"created":true}})"
                               "\n";
constexpr auto kWatchEvent =
    R"({"result":{"events":[{"kv":{"key":"aw==","value":"dg==",)"
    R"("mod_revision":"5"}}]}})"
    "\n";

// Returns a fixed response or failure for each path.
auto Serve(net::http_exchange& exchange) -> asio::awaitable<void> {
  const auto path = exchange.request().Path();
  auto response = net::JsonResponse(200, kHeader);
  if (path == "/v3/kv/put") {
    exchange.Abort();
    co_return;
  }
  if (path == "/v3/watch") {
    co_await exchange.StartStream(std::move(response));
    co_await exchange.WriteChunk(kWatchCreated);
    const auto text = std::string_view(kWatchEvent);
    co_await exchange.WriteChunk(text.substr(0, 20));
    co_await exchange.WriteChunk(text.substr(20));
    co_await exchange.EndStream();
    co_return;
  }
  if (path == "/v3/lease/grant") {
    response = net::JsonResponse(503, "{}");
  } else if (path == "/v3/lease/revoke") {
    response = net::JsonResponse(404, "{}");
  } else if (path == "/v3/lease/keepalive") {
    response.body = R"({"result":{"ID":"7","TTL":"9"}})";
  } else if (path == "/v3/kv/txn") {
    response.body = "not JSON";
  }
  co_await exchange.Respond(std::move(response));
}

// Responds with one large value, slowly.
auto ServeSlowly(net::http_exchange& exchange) -> asio::awaitable<void> {
  constexpr auto kParts = 20;
  const auto part = std::string(std::size_t{64} * 1024, 'A');
  auto timer = asio::steady_timer(co_await asio::this_coro::executor);
  co_await exchange.StartStream({200, {}, ""});
  co_await exchange.WriteChunk(
      R"({"header":{"revision":"4"},"kvs":[{"key":"aw==","value":")");
  for (auto sent = 0; sent < kParts; ++sent) {
    timer.expires_after(std::chrono::milliseconds(100));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    co_await exchange.WriteChunk(part);
  }
  co_await exchange.WriteChunk(R"("}]})");
  co_await exchange.EndStream();
}

struct fixture {
  explicit fixture(net::http_handler handler = Serve)
      : server(context, {}, std::move(handler)),
        port(server.Listen({"127.0.0.1", 0})) {}

  auto Run(asio::awaitable<void> work) -> void {
    asio::co_spawn(context, std::move(work),
                   [&](const std::exception_ptr& error) {
                     context.stop();
                     if (error) {
                       std::rethrow_exception(error);
                     }
                   });
    context.run();
    context.restart();
  }

  asio::io_context context;
  net::http_server server;
  std::uint16_t port;
};

}  // namespace

TEST_CASE(
    "outcomes tell which calls may have been executed; calls are counted") {
  auto server_fixture = fixture();
  auto service =
      client(server_fixture.context, {{"127.0.0.1", server_fixture.port}}, {});
  server_fixture.Run([&]() -> asio::awaitable<void> {
    auto read_request = range_request{"k", "", 0, false};
    const auto range = co_await service.Range(std::move(read_request));
    CHECK(range.outcome == outcome::kAnswered);
    auto write_request = put_request{"k", "v", 0};
    const auto put = co_await service.Put(std::move(write_request));
    CHECK(put.outcome == outcome::kUnknown);
    const auto grant = co_await service.Grant(10);
    CHECK(grant.outcome == outcome::kUnknown);
    const auto revoke = co_await service.Revoke(7);
    CHECK(revoke.outcome == outcome::kRefused);
    const auto lease = co_await service.KeepAlive(7);
    CHECK(lease.response == lease_state{7, 9});
    auto empty_transaction = txn_request{};
    const auto txn = co_await service.Txn(std::move(empty_transaction));
    CHECK(txn.outcome == outcome::kUnknown);
  }());
  CHECK(service.counts() == call_counts{1, 1, 1, 1, 1, 1, 0});
}

TEST_CASE(
    "an unreachable address gives kNotSent and the next address is used") {
  auto server_fixture = fixture();
  auto closed = net::http_server(server_fixture.context, {}, Serve);
  const auto closed_port = closed.Listen({"127.0.0.1", 0});
  closed.StopAccepting();
  auto service = client(
      server_fixture.context,
      {{"127.0.0.1", closed_port}, {"127.0.0.1", server_fixture.port}}, {});
  server_fixture.Run([&]() -> asio::awaitable<void> {
    auto request = range_request{"k", "", 0, false};
    const auto first = co_await service.Range(request);
    CHECK(first.outcome == outcome::kNotSent);
    const auto second = co_await service.Range(request);
    CHECK(second.outcome == outcome::kAnswered);
  }());
}

TEST_CASE("a watch returns changes and ends with its stream") {
  auto server_fixture = fixture();
  auto service =
      client(server_fixture.context, {{"127.0.0.1", server_fixture.port}}, {});
  server_fixture.Run([&]() -> asio::awaitable<void> {
    auto key = std::string("k");
    auto opened = co_await service.Watch(std::move(key), 5);
    REQUIRE(opened.outcome == outcome::kAnswered);
    const auto changes = co_await opened.stream->Next();
    REQUIRE(changes);
    CHECK(changes->at(0).item.value == "v");
    CHECK(changes->at(0).item.mod_revision == 5);
    const auto end = co_await opened.stream->Next();
    CHECK_FALSE(end);
  }());
}

// Regression: large responses over a full link were given up and asked for
// again, so that the link stayed full.
TEST_CASE("a large response that is on its way is not given up") {
  auto server_fixture = fixture(ServeSlowly);
  auto options = client_options{};
  options.call_timeout = 1s;
  auto service = client(server_fixture.context,
                        {{"127.0.0.1", server_fixture.port}}, options);
  server_fixture.Run([&]() -> asio::awaitable<void> {
    auto request = range_request{"k", "", 0, false};
    const auto range = co_await service.Range(std::move(request));
    CHECK(range.outcome == outcome::kAnswered);
    CHECK(service.counts().ranges == 1);
  }());
}

}  // namespace daisywind::kv
