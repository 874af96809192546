// Budgets of programs whose turns the system stores, does not store, or both.
#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <string>

#include "front_harness.h"
#include "memory_journals.h"

namespace daisywind::front {
namespace {

namespace asio = boost::asio;

// Without an engine profile each event counts as one token.
constexpr auto kEvents = 5;
constexpr auto kMaxTokens = 8;

auto ResponseHead(net::http_exchange& exchange) -> net::http_response {
  return {200, {{"Id", std::string(exchange.request().Header("Id"))}}, ""};
}

// Sends a number of events, and ends the stream or breaks it off.
auto StreamingEndpoint(int& runs, int events, bool breaks_off = false)
    -> endpoint_handler {
  return [&runs, events,
          breaks_off](net::http_exchange& exchange) -> asio::awaitable<void> {
    ++runs;
    co_await exchange.StartStream(ResponseHead(exchange));
    for (auto id = 1; id <= events; ++id) {
      co_await exchange.WriteChunk("id: " + std::to_string(id) +
                                   "\ndata: t\n\n");
    }
    if (!breaks_off) {
      co_await exchange.EndStream();
      co_return;
    }
    auto timer = asio::steady_timer(co_await asio::this_coro::executor);
    timer.expires_after(std::chrono::milliseconds(20));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    exchange.Abort();
  };
}

auto TurnHeaders(const std::string& program, int budget) -> net::http_headers {
  return {{"Program", program},
          {"Budget", std::to_string(budget)},
          {"Max-Tokens", std::to_string(kMaxTokens)}};
}

TEST_CASE("a program's budget holds whether its turns are stored or not") {
  struct budget_case {
    const char* first;
    const char* second;
  };
  for (const auto& routes :
       {budget_case{"stream", "stream"}, budget_case{"stream", "kept"},
        budget_case{"kept", "stream"}, budget_case{"resume", "stream"}}) {
    CAPTURE(routes.first);
    CAPTURE(routes.second);
    auto harness = front_harness();
    auto runs = 0;
    harness.AddEndpoint("a", StreamingEndpoint(runs, kEvents));
    harness.Configure();
    auto journals = memory_journals(harness);
    // Room for one turn at its most after the first one's events.
    const auto headers = TurnHeaders("p", kEvents + kMaxTokens);
    CHECK(harness.Send(routes.first, "t1", headers).response.status == 200);
    journals.WaitUntilSettled("t1");
    CHECK(harness.Send(routes.second, "t2", headers).response.status == 200);
    journals.WaitUntilSettled("t2");
    CHECK(runs == 2);
    const auto refused = harness.Send(routes.first, "t3", headers);
    CHECK(refused.response.body == "budget_spent");
    CHECK(runs == 2);
    // Another program has a budget of its own.
    CHECK(harness.Send(routes.first, "t4", TurnHeaders("q", kMaxTokens))
              .response.status == 200);
  }
}

TEST_CASE("a turn that is not stored keeps no content") {
  auto harness = front_harness();
  auto runs = 0;
  harness.AddEndpoint("a", StreamingEndpoint(runs, kEvents));
  harness.Configure();
  auto journals = memory_journals(harness);
  harness.Send("stream", "t1", TurnHeaders("p", 100));
  journals.WaitUntilSettled("t1");
  const auto fact = journals.FindFact("t1");
  CHECK(fact->reserved_tokens == kMaxTokens);
  CHECK(fact->settled_tokens == kEvents);
  CHECK_FALSE(fact->content);
}

TEST_CASE("a turn that breaks off counts what its caller received") {
  auto harness = front_harness();
  auto runs = 0;
  harness.AddEndpoint("a", StreamingEndpoint(runs, 3, true));
  harness.Configure();
  auto journals = memory_journals(harness);
  CHECK(harness.Send("stream", "t1", TurnHeaders("p", 100)).outcome ==
        net::http_outcome::kNoAnswer);
  journals.WaitUntilSettled("t1");
  CHECK(journals.FindFact("t1")->settled_tokens == 3U);
}

TEST_CASE("a refused turn spends nothing") {
  auto harness = front_harness();
  harness.Configure();
  auto journals = memory_journals(harness);
  const auto headers = TurnHeaders("p", kMaxTokens);
  CHECK(harness.Send("stream", "t1", headers).response.body == "no_endpoint");
  journals.WaitUntilSettled("t1");
  CHECK(journals.FindFact("t1")->settled_tokens == 0U);
}

TEST_CASE("a turn with a budget does not run without its journals") {
  auto harness = front_harness();
  auto runs = 0;
  harness.AddEndpoint("a", StreamingEndpoint(runs, kEvents));
  harness.Configure();
  auto journals = memory_journals(harness);
  journals.SetSilent(true);
  const auto refused = harness.Send("stream", "t1", TurnHeaders("p", 100));
  CHECK(refused.response.body == "history_unavailable");
  CHECK(runs == 0);
  // A stream without a budget needs no journal.
  CHECK(harness.Send("stream", "r").response.status == 200);
}

}  // namespace
}  // namespace daisywind::front
