#include "front/request_flow.h"

#include <doctest/doctest.h>

#include <array>
#include <boost/asio.hpp>
#include <memory>
#include <string>

#include "common/process_clock.h"
#include "front_harness.h"

namespace daisywind::front {
namespace {

namespace asio = boost::asio;
using net::http_outcome;

auto RequestIdOf(net::http_exchange& exchange) -> std::string {
  return std::string(exchange.request().Header("Id"));
}

// A response to the request of an exchange, with one more header if a name is
// given.
auto ResponseTo(net::http_exchange& exchange,
                unsigned status,
                std::string body,
                const std::string& header = "",
                const std::string& value = "") -> net::http_response {
  auto response = net::http_response{
      status, {{"Id", RequestIdOf(exchange)}}, std::move(body)};
  if (!header.empty()) {
    response.headers.push_back({header, value});
  }
  return response;
}

// Responds to each request and counts the runs.
auto RespondingEndpoint(int& runs) -> endpoint_handler {
  return [&runs](net::http_exchange& exchange) -> asio::awaitable<void> {
    ++runs;
    co_await exchange.Respond(
        ResponseTo(exchange, 200, "answer to " + RequestIdOf(exchange)));
  };
}

// Default of the setting changes.in_force_ms.
constexpr auto kDefaultInForce = duration(2500ms);

// Counts a run and aborts the connection without a response.
auto AbortingEndpoint(int& runs) -> endpoint_handler {
  return [&runs](net::http_exchange& exchange) -> asio::awaitable<void> {
    ++runs;
    exchange.Abort();
    co_return;
  };
}

// Responds that it has not run the request, and counts the refusals.
auto RefusingEndpoint(int& refusals) -> endpoint_handler {
  return [&refusals](net::http_exchange& exchange) -> asio::awaitable<void> {
    ++refusals;
    co_await exchange.Respond(ResponseTo(exchange, 503, "", "Not-Run", "1"));
  };
}

// Accepts requests, counts them and never responds.
auto UnresponsiveEndpoint(int& requests) -> endpoint_handler {
  return [&requests](net::http_exchange& exchange) -> asio::awaitable<void> {
    ++requests;
    co_await exchange.WaitForClose();
  };
}

TEST_CASE("without a configuration every request is refused as not run") {
  auto harness = front_harness();
  const auto result = harness.Send("once", "r");
  CHECK(result.response.status == 503);
  CHECK(result.response.body == "no_configuration");
}

TEST_CASE("no call for changes outlasts the time limit for configurations") {
  auto harness = front_harness();
  harness.Configure();
  REQUIRE(harness.RunUntil([&] { return harness.store.longest_wait() > 0s; }));
  CHECK(harness.store.longest_wait() < kDefaultInForce);
}

TEST_CASE("a request without a route is refused") {
  auto harness = front_harness();
  harness.Configure();
  CHECK(harness.Send("elsewhere", "r").response.body == "no_route");
}

TEST_CASE("without an endpoint a request is refused as not run") {
  auto harness = front_harness();
  harness.Configure();
  const auto result = harness.Send("once", "r");
  CHECK(result.response.status == 503);
  CHECK(result.response.body == "no_endpoint");
}

TEST_CASE("a response is forwarded unchanged") {
  auto harness = front_harness();
  auto runs = 0;
  harness.AddEndpoint("a", RespondingEndpoint(runs));
  harness.Configure();
  for (const auto* kind : {"once", "again"}) {
    const auto result = harness.Send(kind, "r7");
    CHECK(result.response.status == 200);
    CHECK(result.response.body == "answer to r7");
  }
  CHECK(runs == 2);
}

// Guards against load reports that count for the maximum time for ever, and
// against refusals taken for fast responses.
TEST_CASE("complete responses set the half-life of load reports") {
  auto harness = front_harness();
  auto runs = 0;
  auto refusals = 0;
  auto& endpoints = harness.node().service_directory().endpoints();
  const auto service = dispatch::service_id("s");
  const auto maximum = dispatch::endpoint_options{}.report_half_life;
  endpoints.SetFrontCount(300);
  harness.AddEndpoint("a", RefusingEndpoint(refusals));
  harness.Configure();
  harness.Send("once", "r1");
  CHECK(refusals > 0);
  CHECK(endpoints.ReportHalfLife(service) == maximum);
  harness.AddEndpoint("b", RespondingEndpoint(runs));
  harness.Configure();
  CHECK(harness.Send("once", "r2").response.status == 200);
  CHECK(endpoints.ReportHalfLife(service) < maximum);
}

TEST_CASE("the metrics show how evenly the load of a service is spread") {
  auto harness = front_harness();
  auto runs = 0;
  harness.AddEndpoint("a", RespondingEndpoint(runs));
  harness.AddEndpoint("b", RespondingEndpoint(runs));
  harness.Configure();
  auto& endpoints = harness.node().service_directory().endpoints();
  endpoints.OnReport(endpoint_id("a"), {4, 0, 4}, Now());
  endpoints.OnReport(endpoint_id("b"), {0, 0, 4}, Now());
  const auto text = harness.Metrics();
  for (const auto* line :
       {"daisywind_front_endpoint_load_variation{service=\"s\"} 1\n",
        "daisywind_front_endpoint_load_mean{service=\"s\"} 2\n",
        "daisywind_front_endpoints_full{service=\"s\"} 1\n",
        "daisywind_front_endpoints_with_free_slots{service=\"s\"} 1\n"}) {
    CAPTURE(text);
    CHECK(text.find(line) != std::string::npos);
  }
}

TEST_CASE("a request that an endpoint has not run is sent to another") {
  auto harness = front_harness();
  auto runs = 0;
  auto refusals = 0;
  harness.AddEndpoint("a", RefusingEndpoint(refusals));
  harness.AddEndpoint("b", RespondingEndpoint(runs));
  harness.Configure();
  for (auto i = 0; i < 8; ++i) {
    CHECK(harness.Send("once", "r").response.status == 200);
  }
  CHECK(runs == 8);
}

// Sends a body that does not end until the front closes the connection, and
// counts the pieces.
auto EndlessEndpoint(int& pieces, std::string piece) -> endpoint_handler {
  return [&pieces, piece = std::move(piece)](
             net::http_exchange& exchange) -> asio::awaitable<void> {
    auto timer = asio::steady_timer(co_await asio::this_coro::executor);
    co_await exchange.StartStream(ResponseTo(exchange, 200, ""));
    while (co_await exchange.WriteChunk(piece)) {
      ++pieces;
      timer.expires_after(std::chrono::milliseconds(1));
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    exchange.Abort();
  };
}

TEST_CASE("a response without end ends at the time-out of its route") {
  auto harness = front_harness();
  auto pieces = 0;
  harness.AddEndpoint("a", EndlessEndpoint(pieces, "x"));
  harness.Configure();
  const auto result = harness.Send("once", "r");
  CHECK(result.response.status == 502);
  CHECK(result.response.body == "timeout");
  // The status of a stream has been sent; its end must not look complete.
  CHECK(harness.Send("stream", "s").outcome == http_outcome::kNoAnswer);
}

TEST_CASE("responses without end do not use up the memory of the front") {
  constexpr auto kMegabyte = std::size_t{1} << 20U;
  constexpr auto kPiece = std::size_t{64} * 1024;
  auto harness = front_harness(1);
  auto pieces = 0;
  harness.AddEndpoint("a", EndlessEndpoint(pieces, std::string(kPiece, 'x')));
  harness.Configure();
  for (auto i = 0; i < 3; ++i) {
    pieces = 0;
    const auto result = harness.Send("once", "r" + std::to_string(i));
    CHECK(result.response.status == 502);
    CHECK(result.response.body == "no_answer");
    // Twice the memory, which allows for what the sockets hold.
    CHECK(std::size_t(pieces) * kPiece <= 2 * kMegabyte);
  }
}

TEST_CASE("a refusal without end does not delay the next attempt") {
  // The endpoints are chosen at random; so many requests do not all choose the
  // other one.
  constexpr auto kMaxRequests = 200;
  auto harness = front_harness();
  auto refusals = 0;
  harness.AddEndpoint(
      "a", [&](net::http_exchange& exchange) -> asio::awaitable<void> {
        ++refusals;
        auto timer = asio::steady_timer(co_await asio::this_coro::executor);
        co_await exchange.StartStream(
            ResponseTo(exchange, 503, "", "Not-Run", "1"));
        while (co_await exchange.WriteChunk("x")) {
          timer.expires_after(std::chrono::milliseconds(1));
          co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        exchange.Abort();
      });
  auto runs = 0;
  harness.AddEndpoint("b", RespondingEndpoint(runs));
  harness.Configure();
  auto requests = 0;
  while (refusals == 0 && requests < kMaxRequests) {
    const auto id = "r" + std::to_string(++requests);
    CHECK(harness.Send("once", id).response.status == 200);
  }
  CHECK(refusals == 1);
  CHECK(runs == requests);
}

TEST_CASE("an endpoint that names a rate limit is spared at once") {
  constexpr auto kRequests = 60;
  auto harness = front_harness();
  auto limited_runs = 0;
  harness.AddEndpoint(
      "a", [&](net::http_exchange& exchange) -> asio::awaitable<void> {
        ++limited_runs;
        co_await exchange.Respond(
            ResponseTo(exchange, 200, "", "Limit", "0.01"));
      });
  auto runs = 0;
  harness.AddEndpoint("b", RespondingEndpoint(runs));
  harness.Configure();
  for (auto i = 0; i < kRequests; ++i) {
    CHECK(harness.Send("once", "r" + std::to_string(i)).response.status == 200);
  }
  CHECK(limited_runs == 1);
  CHECK(runs == kRequests - 1);
}

TEST_CASE("a request that may have run is not refused as not run at a limit") {
  auto harness = front_harness();
  auto runs = 0;
  harness.AddEndpoint(
      "a", [&](net::http_exchange& exchange) -> asio::awaitable<void> {
        ++runs;
        co_await exchange.StartStream(
            ResponseTo(exchange, 200, "", "Limit", "0"));
        co_await exchange.WriteChunk("half of the ");
        exchange.Abort();
      });
  harness.Configure();
  const auto result = harness.Send("again", "r");
  CHECK(runs == 1);
  CHECK(result.response.status == 502);
  CHECK(result.response.body == "no_answer");
}

TEST_CASE("requests beyond all rate limits are refused at once as not run") {
  auto harness = front_harness();
  auto runs = 0;
  harness.AddEndpoint(
      "a", [&](net::http_exchange& exchange) -> asio::awaitable<void> {
        ++runs;
        co_await exchange.Respond(ResponseTo(exchange, 200, "", "Limit", "0"));
      });
  harness.Configure();
  CHECK(harness.Send("once", "r").response.status == 200);
  CHECK(harness.Send("once", "s").response.status == 503);
  CHECK(runs == 1);
}

TEST_CASE("a request that no endpoint has run is refused as not run") {
  auto harness = front_harness();
  auto refusals = 0;
  harness.AddEndpoint("a", RefusingEndpoint(refusals));
  harness.Configure();
  const auto result = harness.Send("once", "r");
  CHECK(result.response.status == 503);
  CHECK(result.response.body == "overloaded");
  CHECK(refusals > 0);
}

TEST_CASE(
    "a request that may have run is neither retried nor refused as not run") {
  auto harness = front_harness();
  auto runs = 0;
  harness.AddEndpoint("a", AbortingEndpoint(runs));
  harness.AddEndpoint("b", AbortingEndpoint(runs));
  harness.Configure();
  const auto result = harness.Send("once", "r");
  CHECK(result.response.status == 502);
  CHECK(result.response.body == "no_answer");
  CHECK(runs == 1);
}

TEST_CASE(
    "an idempotent request is retried up to its route's maximum of attempts") {
  auto harness = front_harness();
  auto runs = 0;
  for (const auto* id : {"a", "b", "c", "d"}) {
    harness.AddEndpoint(id, AbortingEndpoint(runs));
  }
  harness.Configure();
  CHECK(harness.Send("again", "r").response.status == 502);
  CHECK(runs == 2);
}

// A process that was paused may resume a request before the timer of its
// deadline has run.
TEST_CASE("a request without time left is not sent") {
  auto harness = front_harness();
  auto runs = 0;
  harness.AddEndpoint("a", RespondingEndpoint(runs));
  harness.Configure();
  for (const auto* kind : {"once", "again"}) {
    const auto result = harness.Send(kind, "r", {{"Deadline-Ms", "0"}});
    CHECK(result.response.status == 503);
  }
  CHECK(runs == 0);
}

TEST_CASE("a request gets an error response at its route's time-out") {
  auto harness = front_harness();
  auto runs = 0;
  harness.AddEndpoint("a", UnresponsiveEndpoint(runs));
  harness.Configure();
  const auto result = harness.Send("once", "r");
  CHECK(result.response.status == 502);
  CHECK(result.response.body == "timeout");
  CHECK(runs == 1);
}

TEST_CASE(
    "an idempotent request is retried when an endpoint does not respond") {
  auto harness = front_harness();
  auto silent = 0;
  auto runs = 0;
  harness.AddEndpoint("a", UnresponsiveEndpoint(silent));
  harness.AddEndpoint("b", RespondingEndpoint(runs));
  harness.Configure();
  // Whichever endpoint is chosen first, the response arrives in time. Choices
  // are random, so requests are sent until the silent one was chosen as well.
  constexpr auto kMinRequests = 8;
  constexpr auto kMaxRequests = 64;
  auto requests = 0;
  while (requests < kMinRequests || (silent == 0 && requests < kMaxRequests)) {
    CHECK(harness.Send("again", "r" + std::to_string(requests++))
              .response.status == 200);
  }
  CHECK(runs == requests);
  CHECK(silent > 0);
}

TEST_CASE(
    "a caller that disconnects cancels its attempt and no other is started") {
  auto harness = front_harness();
  auto runs = 0;
  auto ended = 0;
  const auto wait_for_close =
      [&](net::http_exchange& exchange) -> asio::awaitable<void> {
    ++runs;
    co_await exchange.WaitForClose();
    ++ended;
  };
  harness.AddEndpoint("a", wait_for_close);
  harness.AddEndpoint("b", wait_for_close);
  harness.Configure();
  for (const auto* kind : {"again", "stream"}) {
    runs = 0;
    ended = 0;
    harness.SendAndDisconnect(kind, "r", [&] { return runs == 1; });
    CHECK(harness.RunUntil([&] { return ended == 1; }));
    CHECK(runs == 1);
  }
}

TEST_CASE("a response to another request is skipped") {
  auto harness = front_harness();
  auto runs = 0;
  harness.AddEndpoint(
      "a", [&](net::http_exchange& exchange) -> asio::awaitable<void> {
        ++runs;
        // A late response to an earlier request, then the one to this request.
        auto other = net::http_response{200, {}, "not yours"};
        other.headers.push_back({"Id", "other"});
        co_await exchange.Respond(std::move(other));
        co_await exchange.Respond(ResponseTo(exchange, 200, "yours"));
      });
  harness.Configure();
  const auto result = harness.Send("once", "r");
  CHECK(result.response.status == 200);
  CHECK(result.response.body == "yours");
  CHECK(runs == 1);
}

TEST_CASE("a stream is forwarded to its end") {
  auto harness = front_harness();
  harness.AddEndpoint(
      "a", [](net::http_exchange& exchange) -> asio::awaitable<void> {
        co_await exchange.StartStream(ResponseTo(exchange, 200, ""));
        co_await exchange.WriteChunk("data: one\n\n");
        co_await exchange.WriteChunk("data: two\n\n");
        co_await exchange.EndStream();
      });
  harness.Configure();
  const auto result = harness.Send("stream", "r");
  CHECK(result.outcome == http_outcome::kAnswered);
  CHECK(result.response.body == "data: one\n\ndata: two\n\n");
}

TEST_CASE("an aborted stream does not look complete to the caller") {
  auto harness = front_harness();
  auto runs = 0;
  const auto abort_mid_stream =
      [&](net::http_exchange& exchange) -> asio::awaitable<void> {
    ++runs;
    co_await exchange.StartStream(ResponseTo(exchange, 200, ""));
    co_await exchange.WriteChunk("data: one\n\n");
    exchange.Abort();
  };
  harness.AddEndpoint("a", abort_mid_stream);
  harness.AddEndpoint("b", abort_mid_stream);
  harness.Configure();
  const auto result = harness.Send("stream", "r");
  CHECK(result.outcome == http_outcome::kNoAnswer);
  CHECK(runs == 1);
}

TEST_CASE("a stream that ends inside an event does not look complete") {
  const auto head =
      std::string("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
  for (const auto* body : {"data: one\n\ndata: tw", "data: one\n"}) {
    auto harness = front_harness();
    harness.AddClosingEndpoint("a", head + body);
    harness.Configure();
    CHECK(harness.Send("stream", "r").outcome == http_outcome::kNoAnswer);
  }
}

TEST_CASE("a stream without a length that ends after an event is complete") {
  auto harness = front_harness();
  harness.AddClosingEndpoint("a",
                             "HTTP/1.1 200 OK\r\nContent-Type: "
                             "text/event-stream\r\n\r\ndata: one\n\n");
  harness.Configure();
  const auto result = harness.Send("stream", "r");
  CHECK(result.outcome == http_outcome::kAnswered);
  CHECK(result.response.body == "data: one\n\n");
}

// A front that reaches no endpoint and one that reaches all of them. The
// endpoints have the same ids at both.
struct cut_off_fixture {
  cut_off_fixture() {
    for (const auto* id : kEndpoints) {
      cut_off.AddUnreachableEndpoint(id);
    }
  }

  auto AddEndpoints(const endpoint_handler& handler) -> void {
    for (const auto* id : kEndpoints) {
      sound.AddEndpoint(id, handler);
    }
    cut_off.Configure();
    sound.Configure();
  }

  static constexpr auto kEndpoints =
      std::to_array<const char*>({"a", "b", "c", "d"});

  std::shared_ptr<asio::io_context> context =
      std::make_shared<asio::io_context>(1);
  front_harness cut_off{32, context};
  front_harness sound{32, context};
};

TEST_CASE("a front that reaches no endpoint is served by another front") {
  constexpr auto kRequests = 8;
  auto fixture = cut_off_fixture();
  auto runs = 0;
  fixture.AddEndpoints(RespondingEndpoint(runs));
  fixture.cut_off.SetFronts({fixture.sound.relay_address()});
  for (auto i = 0; i < kRequests; ++i) {
    const auto id = "r" + std::to_string(i);
    const auto result = fixture.cut_off.Send(i % 2 == 0 ? "once" : "again", id);
    CHECK(result.response.status == 200);
    CHECK(result.response.body == "answer to " + id);
  }
  CHECK(runs == kRequests);
}

TEST_CASE("a stream through another front keeps its events and its end") {
  auto fixture = cut_off_fixture();
  auto is_broken_off = false;
  fixture.AddEndpoints(
      [&](net::http_exchange& exchange) -> asio::awaitable<void> {
        co_await exchange.StartStream(ResponseTo(exchange, 200, ""));
        co_await exchange.WriteChunk("data: one\n\n");
        if (is_broken_off) {
          exchange.Abort();
          co_return;
        }
        co_await exchange.WriteChunk("data: two\n\n");
        co_await exchange.EndStream();
      });
  fixture.cut_off.SetFronts({fixture.sound.relay_address()});
  const auto whole = fixture.cut_off.Send("stream", "r1");
  CHECK(whole.outcome == http_outcome::kAnswered);
  CHECK(whole.response.body == "data: one\n\ndata: two\n\n");
  is_broken_off = true;
  CHECK(fixture.cut_off.Send("stream", "r2").outcome ==
        http_outcome::kNoAnswer);
}

TEST_CASE("a request that another front has sent is not sent again") {
  auto fixture = cut_off_fixture();
  auto runs = 0;
  fixture.AddEndpoints(AbortingEndpoint(runs));
  fixture.cut_off.SetFronts({fixture.sound.relay_address()});
  const auto result = fixture.cut_off.Send("once", "r");
  CHECK(result.response.status == 502);
  CHECK(result.response.body == "no_answer");
  CHECK(runs == 1);
}

TEST_CASE("a front that can't be reached is passed over") {
  auto fixture = cut_off_fixture();
  auto runs = 0;
  fixture.AddEndpoints(RespondingEndpoint(runs));
  fixture.cut_off.SetFronts({"127.0.0.1:1", fixture.sound.relay_address()});
  for (auto i = 0; i < 4; ++i) {
    const auto id = "r" + std::to_string(i);
    CHECK(fixture.cut_off.Send("once", id).response.status == 200);
  }
  CHECK(runs == 4);
}

TEST_CASE("a front that reaches no endpoint itself is passed over") {
  auto fixture = cut_off_fixture();
  auto runs = 0;
  auto other = front_harness(32, fixture.context);
  for (const auto* id : cut_off_fixture::kEndpoints) {
    other.AddUnreachableEndpoint(id);
  }
  other.Configure();
  CHECK(other.Send("once", "r").response.status == 503);
  fixture.AddEndpoints(RespondingEndpoint(runs));
  fixture.cut_off.SetFronts(
      {other.relay_address(), fixture.sound.relay_address()});
  constexpr auto kRequests = 8;
  for (auto i = 0; i < kRequests; ++i) {
    const auto id = "r" + std::to_string(i);
    CHECK(fixture.cut_off.Send("once", id).response.status == 200);
  }
  CHECK(runs == kRequests);
}

TEST_CASE("a front without a path to any endpoint refuses at once") {
  auto fixture = cut_off_fixture();
  auto runs = 0;
  fixture.AddEndpoints(RespondingEndpoint(runs));
  for (auto i = 0; i < 3; ++i) {
    const auto result = fixture.cut_off.Send("once", "r" + std::to_string(i));
    CHECK(result.response.status == 503);
    CHECK(result.response.body == "no_endpoint");
  }
  CHECK(!fixture.cut_off.node().paths().IsUsable());
  CHECK(runs == 0);
}

TEST_CASE("a front makes its own attempts once it reaches endpoints again") {
  auto fixture = cut_off_fixture();
  auto relayed = 0;
  fixture.AddEndpoints(RespondingEndpoint(relayed));
  fixture.cut_off.SetFronts({fixture.sound.relay_address()});
  CHECK(fixture.cut_off.Send("once", "r").response.status == 200);
  CHECK(fixture.cut_off.node().paths().IsClosed());
  auto own = 0;
  for (const auto* id : cut_off_fixture::kEndpoints) {
    fixture.cut_off.AddEndpoint(id, RespondingEndpoint(own));
  }
  CHECK(fixture.cut_off.RunUntil(
      [&] { return fixture.cut_off.node().paths().IsOpen(); }));
  CHECK(fixture.cut_off.Send("once", "s").response.status == 200);
  CHECK(relayed == 1);
  CHECK(own == 1);
}

// Responds that it leaves, and counts the runs.
auto LeavingEndpoint(int& runs) -> endpoint_handler {
  return [&runs](net::http_exchange& exchange) -> asio::awaitable<void> {
    ++runs;
    co_await exchange.Respond(
        ResponseTo(exchange, 200, "answer", "Leaving", "1"));
  };
}

// Regression: requests were sent to endpoints whose responses said that they
// leave, while their entries said that they were ready.
TEST_CASE("an endpoint whose response says it leaves gets no more requests") {
  auto harness = front_harness();
  auto runs = 0;
  harness.AddEndpoint("a", LeavingEndpoint(runs));
  harness.Configure();
  const auto first = harness.Send("once", "r");
  CHECK(first.response.status == 200);
  CHECK(first.response.body == "answer");
  for (const auto* kind : {"once", "again", "stream"}) {
    const auto refused = harness.Send(kind, kind);
    CHECK(refused.response.status == 503);
    CHECK(refused.response.body == "no_endpoint");
  }
  CHECK(runs == 1);
}

TEST_CASE(
    "an idempotent request is not sent again to an endpoint that leaves") {
  auto harness = front_harness();
  auto requests = 0;
  harness.AddEndpoint(
      "a", [&](net::http_exchange& exchange) -> asio::awaitable<void> {
        ++requests;
        auto refusal = ResponseTo(exchange, 503, "", "Leaving", "1");
        refusal.headers.push_back({"Not-Run", "1"});
        co_await exchange.Respond(std::move(refusal));
      });
  harness.Configure();
  CHECK(harness.Send("again", "r").response.status == 503);
  CHECK(requests == 1);
}

TEST_CASE("a response of another endpoint does not make the named one leave") {
  auto harness = front_harness();
  auto requests = 0;
  harness.AddEndpoint(
      "a", [&](net::http_exchange& exchange) -> asio::awaitable<void> {
        if (++requests > 1) {
          co_await exchange.Respond(ResponseTo(exchange, 200, "answer"));
          co_return;
        }
        auto misdirected = ResponseTo(exchange, 421, "", "Leaving", "1");
        misdirected.headers.push_back({"Not-Run", "1"});
        co_await exchange.Respond(std::move(misdirected));
      });
  harness.Configure();
  harness.Send("once", "r");
  CHECK_FALSE(harness.node()
                  .service_directory()
                  .endpoints()
                  .Find(endpoint_id("a"))
                  ->IsLeaving());
}

TEST_CASE("a front that relays sends no more requests to leaving endpoints") {
  auto fixture = cut_off_fixture();
  auto runs = 0;
  fixture.AddEndpoints(LeavingEndpoint(runs));
  fixture.cut_off.SetFronts({fixture.sound.relay_address()});
  constexpr auto kRequests = 8;
  for (auto i = 0; i < kRequests; ++i) {
    fixture.cut_off.Send("once", "r" + std::to_string(i));
    fixture.sound.Send("once", "s" + std::to_string(i));
  }
  // Each endpoint has said so once, through either front.
  CHECK(runs == static_cast<int>(cut_off_fixture::kEndpoints.size()));
}

TEST_CASE("a status that guarantees too much is not forwarded") {
  auto harness = front_harness();
  harness.AddEndpoint(
      "a", [](net::http_exchange& exchange) -> asio::awaitable<void> {
        co_await exchange.Respond(ResponseTo(exchange, 503, ""));
      });
  harness.Configure();
  CHECK(harness.Send("once", "r").response.status == 502);
}

}  // namespace
}  // namespace daisywind::front
