// Requests that admission control refuses.
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <optional>
#include <string>

#include "front_harness.h"

namespace daisywind::front {
namespace {

namespace asio = boost::asio;

// Counts requests, and responds to them when told to.
auto HeldEngine(int& requests, const bool& may_answer) -> endpoint_handler {
  return [&](net::http_exchange& exchange) -> asio::awaitable<void> {
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

auto Program(const std::string& name) -> net::http_headers {
  return {{"Program", name}};
}

// An engine with twice as many requests as slots refuses nine in ten.
struct full_engine {
  static constexpr auto kHeld = 2 * kTestSlots;

  full_engine() {
    harness.AddEndpoint("engine1", HeldEngine(requests, may_answer));
    harness.Configure();
    harness.StartSend("engine", "first", held.at(0), Program("under way"));
    REQUIRE(harness.RunUntil([&] { return requests == 1; }));
    for (auto i = 1U; i < kHeld; ++i) {
      harness.StartSend("engine", "h" + std::to_string(i), held.at(i));
    }
    REQUIRE(harness.RunUntil([&] { return requests == int(kHeld); }));
  }

  // The front must not be destroyed while it serves requests.
  template <class List>
  auto FinishAll(const List& results) -> void {
    may_answer = true;
    REQUIRE(harness.RunUntil([&] {
      return std::all_of(results.begin(), results.end(),
                         [](const auto& item) { return item.has_value(); });
    }));
  }

  int requests = 0;
  bool may_answer = false;
  std::array<std::optional<net::http_result>, kHeld> held;
  std::array<std::optional<net::http_result>, 20> starts;
  std::optional<net::http_result> next_turn;
  front_harness harness;
};

TEST_CASE_FIXTURE(full_engine, "a program is not started at full engines") {
  for (auto i = std::size_t{0}; i < starts.size(); ++i) {
    harness.StartSend("engine", "s" + std::to_string(i), starts.at(i),
                      Program("p" + std::to_string(i)));
  }
  const auto refusal = [&]() -> const net::http_result* {
    for (const auto& result : starts) {
      if (result && result->response.body == "not_admitted") {
        return &*result;
      }
    }
    return nullptr;
  };
  REQUIRE(harness.RunUntil([&] { return refusal() != nullptr; }));
  CHECK(refusal()->response.status == 503);
  CHECK(harness.node().metrics_registry().CounterValue(
            "daisywind_front_admission_refusals_total",
            {{"reason", "full"}, {"route", "/engine/"}}) > 0);
  FinishAll(starts);
  FinishAll(held);
}

// A refused turn would waste what its program has taken so far.
TEST_CASE_FIXTURE(full_engine, "a program under way goes on at full engines") {
  const auto before = requests;
  harness.StartSend("engine", "next", next_turn, Program("under way"));
  CHECK(harness.RunUntil([&] { return requests > before; }));
  FinishAll(held);
  REQUIRE(harness.RunUntil([&] { return next_turn.has_value(); }));
}

}  // namespace
}  // namespace daisywind::front
