// Requests that engines have no memory for.
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <memory>
#include <optional>
#include <string>

#include "front_harness.h"

namespace daisywind::front {
namespace {

namespace asio = boost::asio;

auto Harness(bool engines_crash_when_full) -> std::unique_ptr<front_harness> {
  return std::make_unique<front_harness>(
      32, std::make_shared<asio::io_context>(1), std::chrono::seconds(8),
      std::chrono::milliseconds(0), engines_crash_when_full);
}

auto Tokens(unsigned count) -> net::http_headers {
  return {{"Prompt-Tokens", std::to_string(count)}};
}

// Answers requests when told to.
struct held_engine {
  auto Handler() -> endpoint_handler {
    return [this](net::http_exchange& exchange) -> asio::awaitable<void> {
      ++requests;
      auto timer = asio::steady_timer(co_await asio::this_coro::executor);
      while (!may_answer) {
        timer.expires_after(std::chrono::milliseconds(1));
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
      }
      auto response = net::http_response{200, {}, ""};
      response.headers.push_back(
          {"Id", std::string(exchange.request().Header("Id"))});
      co_await exchange.Respond(std::move(response));
    };
  }

  int requests = 0;
  bool may_answer = false;
};

TEST_CASE("a request that no engine has memory for is refused as not run") {
  auto harness = Harness(true);
  auto engine = held_engine();
  harness->AddEndpoint("engine1", engine.Handler());
  harness->Configure();
  auto first = std::optional<net::http_result>{};
  harness->StartSend("engine", "r1", first, Tokens(800));
  REQUIRE(harness->RunUntil([&] { return engine.requests == 1; }));
  // A program is not started, and a request with little time is held for a
  // part of it only.
  for (const auto& header :
       {net::http_header{"Program", "p"}, {"Deadline-Ms", "300"}}) {
    auto headers = Tokens(300);
    headers.push_back(header);
    const auto refused = harness->Send("engine", "r2", headers);
    CHECK(refused.response.status == 503);
    CHECK(refused.response.body == "engines_full");
    CHECK(engine.requests == 1);
  }
  // The memory is free again after the end of the first.
  engine.may_answer = true;
  REQUIRE(harness->RunUntil([&] { return first.has_value(); }));
  harness->Send("engine", "r3", Tokens(300));
  CHECK(engine.requests == 2);
}

// A turn that is refused three times fails its program.
TEST_CASE("a request of a program under way waits for memory") {
  auto harness = Harness(true);
  auto engine = held_engine();
  harness->AddEndpoint("engine1", engine.Handler());
  harness->Configure();
  auto results = std::array<std::optional<net::http_result>, 3>{};
  harness->StartSend("engine", "r1", results[0], Tokens(800));
  REQUIRE(harness->RunUntil([&] { return engine.requests == 1; }));
  for (const auto i : {std::size_t{1}, std::size_t{2}}) {
    harness->StartSend("engine", "w" + std::to_string(i), results.at(i),
                       Tokens(300));
  }
  REQUIRE(harness->RunUntil([&] {
    return !harness->node().waiting().IsNext(dispatch::service_id("engines"),
                                             {0, instant::max(), 0});
  }));
  // A start does not overtake them with less memory.
  auto headers = Tokens(50);
  headers.push_back({"Program", "p"});
  for (const auto* id : {"start", "retry of start"}) {
    CHECK(harness->Send("engine", id, headers).response.body == "engines_full");
  }
  CHECK(engine.requests == 1);
  engine.may_answer = true;
  REQUIRE(harness->RunUntil([&] {
    return std::all_of(results.begin(), results.end(),
                       [](const auto& item) { return item.has_value(); });
  }));
  CHECK(engine.requests == 3);
}

// Its place would keep the others waiting.
TEST_CASE("a caller that disconnects leaves the line") {
  auto harness = Harness(true);
  auto engine = held_engine();
  harness->AddEndpoint("engine1", engine.Handler());
  harness->Configure();
  auto first = std::optional<net::http_result>{};
  harness->StartSend("engine", "r1", first, Tokens(950));
  REQUIRE(harness->RunUntil([&] { return engine.requests == 1; }));
  const auto is_waiting = [&] {
    return !harness->node().waiting().IsNext(dispatch::service_id("engines"),
                                             {0, instant::max(), 0});
  };
  harness->SendAndDisconnect("engine", "r2", is_waiting);
  CHECK(harness->RunUntil([&] { return !is_waiting(); }));
  engine.may_answer = true;
  REQUIRE(harness->RunUntil([&] { return first.has_value(); }));
  CHECK(engine.requests == 1);
}

TEST_CASE("a request larger than the memory of an engine is refused") {
  auto harness = Harness(true);
  auto engine = held_engine();
  engine.may_answer = true;
  harness->AddEndpoint("engine1", engine.Handler());
  harness->Configure();
  const auto refused = harness->Send("engine", "r", Tokens(1001));
  CHECK(refused.response.status == 503);
  CHECK(refused.response.body == "request_too_large");
  CHECK(engine.requests == 0);
}

TEST_CASE("where engines don't crash when full, memory refuses no request") {
  auto harness = Harness(false);
  auto engine = held_engine();
  harness->AddEndpoint("engine1", engine.Handler());
  harness->Configure();
  auto results = std::array<std::optional<net::http_result>, 2>{};
  harness->StartSend("engine", "r1", results[0], Tokens(800));
  harness->StartSend("engine", "r2", results[1], Tokens(5000));
  CHECK(harness->RunUntil([&] { return engine.requests == 2; }));
  engine.may_answer = true;
  CHECK(harness->RunUntil([&] { return results[0] && results[1]; }));
}

}  // namespace
}  // namespace daisywind::front
