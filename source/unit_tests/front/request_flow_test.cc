#include "front/request_flow.h"

#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <memory>
#include <string>

#include "test_site.h"

namespace daisywind::front {
namespace {

namespace asio = boost::asio;
using net::http_outcome;

auto Own(net::http_exchange& exchange) -> std::string {
  return std::string(exchange.request().Header("Id"));
}

// Answers, and counts what has run.
auto Answering(int& runs) -> endpoint_handler {
  return [&runs](net::http_exchange& exchange) -> asio::awaitable<void> {
    ++runs;
    co_await exchange.Respond(
        {200, {{"Id", Own(exchange)}}, "answer to " + Own(exchange)});
  };
}

// Runs the request and breaks the connection off.
auto BreakingOff(int& runs) -> endpoint_handler {
  return [&runs](net::http_exchange& exchange) -> asio::awaitable<void> {
    ++runs;
    exchange.Abort();
    co_return;
  };
}

auto Refusing(int& refusals) -> endpoint_handler {
  return [&refusals](net::http_exchange& exchange) -> asio::awaitable<void> {
    ++refusals;
    co_await exchange.Respond(
        {503, {{"Id", Own(exchange)}, {"Not-Run", "1"}}, ""});
  };
}

// Takes requests and never answers.
auto Silent(int& requests) -> endpoint_handler {
  return [&requests](net::http_exchange& exchange) -> asio::awaitable<void> {
    ++requests;
    co_await exchange.WaitForClose();
  };
}

TEST_CASE("without a configuration every request is refused as not run") {
  auto site = test_site();
  const auto result = site.Send("once", "r");
  CHECK(result.response.status == 503);
  CHECK(result.response.body == "no_configuration");
}

TEST_CASE("a request without a route is refused") {
  auto site = test_site();
  site.Configure();
  CHECK(site.Send("elsewhere", "r").response.body == "no_route");
}

TEST_CASE("without an endpoint a request is refused as not run") {
  auto site = test_site();
  site.Configure();
  const auto result = site.Send("once", "r");
  CHECK(result.response.status == 503);
  CHECK(result.response.body == "no_endpoint");
}

TEST_CASE("an answer is passed on whole") {
  auto site = test_site();
  auto runs = 0;
  site.AddEndpoint("a", Answering(runs));
  site.Configure();
  for (const auto* kind : {"once", "again"}) {
    const auto result = site.Send(kind, "r7");
    CHECK(result.response.status == 200);
    CHECK(result.response.body == "answer to r7");
  }
  CHECK(runs == 2);
}

TEST_CASE("what an endpoint has not run goes to another") {
  auto site = test_site();
  auto runs = 0;
  auto refusals = 0;
  site.AddEndpoint("a", Refusing(refusals));
  site.AddEndpoint("b", Answering(runs));
  site.Configure();
  for (auto i = 0; i < 8; ++i) {
    CHECK(site.Send("once", "r").response.status == 200);
  }
  CHECK(runs == 8);
}

TEST_CASE("what no endpoint has run is refused as not run") {
  auto site = test_site();
  auto refusals = 0;
  site.AddEndpoint("a", Refusing(refusals));
  site.Configure();
  const auto result = site.Send("once", "r");
  CHECK(result.response.status == 503);
  CHECK(result.response.body == "overloaded");
  CHECK(refusals > 0);
}

TEST_CASE("what may have run is not sent again, and not refused as not run") {
  auto site = test_site();
  auto runs = 0;
  site.AddEndpoint("a", BreakingOff(runs));
  site.AddEndpoint("b", BreakingOff(runs));
  site.Configure();
  const auto result = site.Send("once", "r");
  CHECK(result.response.status == 502);
  CHECK(result.response.body == "no_answer");
  CHECK(runs == 1);
}

TEST_CASE("an idempotent request is tried again up to its route's bound") {
  auto site = test_site();
  auto runs = 0;
  for (const auto* id : {"a", "b", "c", "d"}) {
    site.AddEndpoint(id, BreakingOff(runs));
  }
  site.Configure();
  CHECK(site.Send("again", "r").response.status == 502);
  CHECK(runs == 2);
}

TEST_CASE("a request is answered at its route's timeout") {
  auto site = test_site();
  auto runs = 0;
  site.AddEndpoint("a", Silent(runs));
  site.Configure();
  const auto result = site.Send("once", "r");
  CHECK(result.response.status == 502);
  CHECK(result.response.body == "timeout");
  CHECK(runs == 1);
}

TEST_CASE("an idempotent request leaves an endpoint that stays silent") {
  auto site = test_site();
  auto silent = 0;
  auto runs = 0;
  site.AddEndpoint("a", Silent(silent));
  site.AddEndpoint("b", Answering(runs));
  site.Configure();
  // Whichever endpoint is drawn first, the answer comes in time.
  constexpr auto kRequests = 8;
  for (auto i = 0; i < kRequests; ++i) {
    CHECK(site.Send("again", "r" + std::to_string(i)).response.status == 200);
  }
  CHECK(runs == kRequests);
  CHECK(silent > 0);
}

TEST_CASE("a caller that leaves ends its attempt and no other is begun") {
  auto site = test_site();
  auto runs = 0;
  auto ended = 0;
  const auto waiting =
      [&](net::http_exchange& exchange) -> asio::awaitable<void> {
    ++runs;
    co_await exchange.WaitForClose();
    ++ended;
  };
  site.AddEndpoint("a", waiting);
  site.AddEndpoint("b", waiting);
  site.Configure();
  for (const auto* kind : {"again", "stream"}) {
    runs = 0;
    ended = 0;
    site.SendAndLeave(kind, "r", [&] { return runs == 1; });
    CHECK(site.Until([&] { return ended == 1; }));
    CHECK(runs == 1);
  }
}

TEST_CASE("an answer to another request is skipped") {
  auto site = test_site();
  auto runs = 0;
  site.AddEndpoint(
      "a", [&](net::http_exchange& exchange) -> asio::awaitable<void> {
        ++runs;
        // The late answer to a request before, then the own one.
        co_await exchange.Respond({200, {{"Id", "other"}}, "not yours"});
        co_await exchange.Respond({200, {{"Id", Own(exchange)}}, "yours"});
      });
  site.Configure();
  const auto result = site.Send("once", "r");
  CHECK(result.response.status == 200);
  CHECK(result.response.body == "yours");
  CHECK(runs == 1);
}

TEST_CASE("a stream is passed on to its end") {
  auto site = test_site();
  site.AddEndpoint(
      "a", [](net::http_exchange& exchange) -> asio::awaitable<void> {
        co_await exchange.StartStream({200, {{"Id", Own(exchange)}}, ""});
        co_await exchange.WriteChunk("data: one\n\n");
        co_await exchange.WriteChunk("data: two\n\n");
        co_await exchange.EndStream();
      });
  site.Configure();
  const auto result = site.Send("stream", "r");
  CHECK(result.outcome == http_outcome::kAnswered);
  CHECK(result.response.body == "data: one\n\ndata: two\n\n");
}

TEST_CASE("a stream that breaks off does not look complete") {
  auto site = test_site();
  auto runs = 0;
  const auto breaking =
      [&](net::http_exchange& exchange) -> asio::awaitable<void> {
    ++runs;
    co_await exchange.StartStream({200, {{"Id", Own(exchange)}}, ""});
    co_await exchange.WriteChunk("data: one\n\n");
    exchange.Abort();
  };
  site.AddEndpoint("a", breaking);
  site.AddEndpoint("b", breaking);
  site.Configure();
  const auto result = site.Send("stream", "r");
  CHECK(result.outcome == http_outcome::kNoAnswer);
  CHECK(runs == 1);
}

TEST_CASE("a status that promises too much is not passed on") {
  auto site = test_site();
  site.AddEndpoint(
      "a", [](net::http_exchange& exchange) -> asio::awaitable<void> {
        co_await exchange.Respond({503, {{"Id", Own(exchange)}}, ""});
      });
  site.Configure();
  CHECK(site.Send("once", "r").response.status == 502);
}

}  // namespace
}  // namespace daisywind::front
