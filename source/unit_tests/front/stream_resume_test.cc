// Streams whose endpoints break them off, and the attempts to go on with them.
#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <memory>
#include <string>

#include "front_harness.h"

namespace daisywind::front {
namespace {

namespace asio = boost::asio;
using net::http_outcome;

constexpr auto kEvents = 4;

auto Event(int id) -> std::string {
  const auto text = std::to_string(id);
  return "id: " + text + "\ndata: token " + text + "\n\n";
}

auto AllEvents() -> std::string {
  auto text = std::string{};
  for (auto id = 1; id <= kEvents; ++id) {
    text += Event(id);
  }
  return text;
}

// What the endpoints of a test share.
struct engine_script {
  // Events that the first run writes before it breaks off, in the middle of the
  // next one.
  int events_before_break = 2;
  // Whether later runs go on where they are told.
  bool honours_resume = true;
  int runs = 0;
  std::string last_after;
  std::string last_weights;
};

auto ResponseHead(net::http_exchange& exchange) -> net::http_response {
  return {200,
          {{"Id", std::string(exchange.request().Header("Id"))},
           {"Content-Type", "text/event-stream"},
           {"Weights", "3"}},
          ""};
}

// The refusal of an endpoint whose weights have another version.
auto OtherWeights(net::http_exchange& exchange) -> net::http_response {
  return {
      421,
      {{"Id", std::string(exchange.request().Header("Id"))}, {"Not-Run", "1"}},
      ""};
}

auto ScriptedEngine(engine_script& script) -> endpoint_handler {
  return [&script](net::http_exchange& exchange) -> asio::awaitable<void> {
    const auto is_first = script.runs++ == 0;
    script.last_after = std::string(exchange.request().Header("After"));
    script.last_weights = std::string(exchange.request().Header("Weights"));
    co_await exchange.StartStream(ResponseHead(exchange));
    const auto first = script.honours_resume && !script.last_after.empty()
                           ? std::stoi(script.last_after) + 1
                           : 1;
    const auto last = is_first ? script.events_before_break : kEvents;
    for (auto id = first; id <= last; ++id) {
      co_await exchange.WriteChunk(Event(id));
    }
    if (!is_first) {
      co_await exchange.EndStream();
      co_return;
    }
    co_await exchange.WriteChunk(Event(last + 1).substr(0, 9));
    // Lets the bytes arrive before the reset discards them.
    auto timer = asio::steady_timer(co_await asio::this_coro::executor);
    timer.expires_after(std::chrono::milliseconds(20));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    exchange.Abort();
  };
}

TEST_CASE("a stream that breaks off inside an event goes on elsewhere") {
  for (auto events = 0; events < kEvents; ++events) {
    CAPTURE(events);
    auto script = engine_script{};
    script.events_before_break = events;
    auto harness = front_harness();
    harness.AddEndpoint("a", ScriptedEngine(script));
    harness.AddEndpoint("b", ScriptedEngine(script));
    harness.Configure();
    const auto result = harness.Send("resume", "r");
    CHECK(result.outcome == http_outcome::kAnswered);
    CHECK(result.response.body == AllEvents());
    CHECK(script.runs == 2);
    CHECK(script.last_after == (events == 0 ? "" : std::to_string(events)));
    // Only the rest of a text must come from the same weights.
    CHECK(script.last_weights == (events == 0 ? "" : "3"));
  }
}

TEST_CASE("a stream that the caller resumes is resumed after its own events") {
  auto script = engine_script{};
  script.events_before_break = 3;
  auto harness = front_harness();
  harness.AddEndpoint("a", ScriptedEngine(script));
  harness.AddEndpoint("b", ScriptedEngine(script));
  harness.Configure();
  const auto result = harness.Send("resume", "r", {{"After", "2"}});
  CHECK(result.response.body == Event(3) + Event(4));
  CHECK(script.last_after == "3");
}

TEST_CASE("a stream that may not be resumed runs once and breaks off") {
  auto script = engine_script{};
  auto harness = front_harness();
  harness.AddEndpoint("a", ScriptedEngine(script));
  harness.AddEndpoint("b", ScriptedEngine(script));
  harness.Configure();
  CHECK(harness.Send("stream", "r").outcome == http_outcome::kNoAnswer);
  CHECK(script.runs == 1);
}

TEST_CASE("a run that repeats events is not joined to the one before") {
  auto script = engine_script{};
  script.honours_resume = false;
  auto harness = front_harness();
  harness.AddEndpoint("a", ScriptedEngine(script));
  harness.AddEndpoint("b", ScriptedEngine(script));
  harness.Configure();
  const auto result = harness.Send("resume", "r");
  CHECK(result.outcome == http_outcome::kNoAnswer);
  CHECK(result.response.body == Event(1) + Event(2));
}

// Regression: events before a repeated one in the same piece counted as
// received, and the next run went on after them.
TEST_CASE("whole events before a repeated one are not skipped") {
  auto runs = 0;
  auto last_after = std::string();
  const auto engine =
      [&](net::http_exchange& exchange) -> asio::awaitable<void> {
    last_after = std::string(exchange.request().Header("After"));
    co_await exchange.StartStream(ResponseHead(exchange));
    if (runs++ == 0) {
      co_await exchange.WriteChunk(Event(1) + Event(2) + Event(2) + Event(3));
    } else {
      co_await exchange.WriteChunk(Event(3) + Event(4));
    }
    co_await exchange.EndStream();
  };
  auto harness = front_harness();
  harness.AddEndpoint("a", engine);
  harness.AddEndpoint("b", engine);
  harness.Configure();
  const auto result = harness.Send("resume", "r");
  CHECK(runs == 2);
  CHECK(last_after == "2");
  CHECK(result.outcome == http_outcome::kAnswered);
  CHECK(result.response.body == AllEvents());
}

TEST_CASE("a stream with one endpoint breaks off visibly") {
  auto script = engine_script{};
  auto harness = front_harness();
  harness.AddEndpoint("a", ScriptedEngine(script));
  harness.Configure();
  CHECK(harness.Send("resume", "r").outcome == http_outcome::kNoAnswer);
  CHECK(script.runs == 1);
}

TEST_CASE("a stream does not go on with other weights") {
  auto script = engine_script{};
  auto refusals = 0;
  // Runs the first request, and refuses to go on as if its weights were others.
  const auto engine =
      [&](net::http_exchange& exchange) -> asio::awaitable<void> {
    if (exchange.request().Header("Weights").empty()) {
      co_await ScriptedEngine(script)(exchange);
      co_return;
    }
    ++refusals;
    co_await exchange.Respond(OtherWeights(exchange));
  };
  auto harness = front_harness();
  harness.AddEndpoint("a", engine);
  harness.AddEndpoint("b", engine);
  harness.Configure();
  const auto result = harness.Send("resume", "r");
  CHECK(result.outcome == http_outcome::kNoAnswer);
  CHECK(result.response.body == Event(1) + Event(2));
  CHECK(refusals == 1);
  // Its weights say nothing against the address of an endpoint.
  CHECK(harness.Send("again", "r2").outcome == http_outcome::kAnswered);
}

}  // namespace
}  // namespace daisywind::front
