#include "gateway/attempt_runner.h"

#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "net/http_server.h"
#include "repeating_endpoint.h"
#include "testing/early_endpoint.h"

namespace daisywind::gateway {
namespace {

namespace asio = boost::asio;

// Generous, because the machine may be busy.
constexpr auto kStepTimeout = std::chrono::seconds(30);
// Many times the pauses of the endpoints, for the same reason.
constexpr auto kIdleTimeout = duration(2s);

struct runner_fixture {
  // Runs one attempt at a port to its end.
  auto Run(std::uint16_t port, bool is_chat, std::string body = {})
      -> attempt_result {
    auto request = attempt_request{};
    request.id = "a";
    request.address = {"127.0.0.1", port};
    request.request = {"GET", "/x", {{"Host", "h"}}, std::move(body)};
    request.is_chat = is_chat;
    request.timeout = kIdleTimeout;
    request.idle_timeout = kIdleTimeout;
    auto result = std::optional<attempt_result>{};
    runner.Start(
        std::move(request), [this](const std::string& text) { output += text; },
        [&](attempt_result ended) { result = std::move(ended); });
    const auto end = std::chrono::steady_clock::now() + kStepTimeout;
    while (!result && std::chrono::steady_clock::now() < end) {
      context.restart();
      context.run_for(std::chrono::milliseconds(5));
    }
    REQUIRE(result);
    return std::move(*result);
  }

  asio::io_context context{1};
  net::http_client client{context};
  attempt_runner runner{context, client};
  std::string output;
};

auto Chunk(const std::string& text) -> std::string {
  return R"(data: {"choices":[{"delta":{"content":")" + text + "\"}}]}\n\n";
}

auto StreamHead() -> net::http_response {
  return {200, {{"Content-Type", "text/event-stream"}}, ""};
}

// Sends one text, then a piece again and again at a time, `count` times or
// until the connection is closed, and ends the stream.
auto Repeat(const std::string& piece,
            std::chrono::milliseconds pause,
            int count) -> net::http_handler {
  return [=](net::http_exchange& exchange) -> asio::awaitable<void> {
    auto timer = asio::steady_timer(co_await asio::this_coro::executor);
    co_await exchange.StartStream(StreamHead());
    co_await exchange.WriteChunk(Chunk("a"));
    for (auto i = 0; i < count; ++i) {
      timer.expires_after(pause);
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
      if (!co_await exchange.WriteChunk(piece)) {
        exchange.Abort();
        co_return;
      }
    }
    co_await exchange.WriteChunk("data: [DONE]\n\n");
    co_await exchange.EndStream();
  };
}

constexpr auto kWithoutEnd = 1'000'000;

}  // namespace

// Regression: bytes that complete no event kept a stalled stream open for ever.
TEST_CASE_FIXTURE(runner_fixture,
                  "a stalled stream ends despite its comments") {
  auto server = net::http_server(
      context, {},
      Repeat(": ping\n\n", std::chrono::milliseconds(10), kWithoutEnd));
  const auto result = Run(server.Listen({"127.0.0.1", 0}), true);
  CHECK(result.outcome == attempt_outcome::kUnknown);
  CHECK(output == "a");
}

TEST_CASE_FIXTURE(runner_fixture, "a service's body without end is ended") {
  auto server = net::http_server(
      context, {}, Repeat("x", std::chrono::milliseconds(10), kWithoutEnd));
  CHECK(Run(server.Listen({"127.0.0.1", 0}), false).outcome ==
        attempt_outcome::kUnknown);
}

TEST_CASE_FIXTURE(runner_fixture, "a slow stream with progress is not cut") {
  // Takes longer in all than both limits.
  constexpr auto kEvents = 30;
  auto server = net::http_server(
      context, {}, Repeat(Chunk("b"), std::chrono::milliseconds(100), kEvents));
  const auto result = Run(server.Listen({"127.0.0.1", 0}), true);
  CHECK(result.outcome == attempt_outcome::kAnswered);
  CHECK(output == "a" + std::string(kEvents, 'b'));
}

// Guards against passing a status on that is none.
TEST_CASE_FIXTURE(runner_fixture, "a response with the status 000 is none") {
  const auto port = StartRepeatingEndpoint(context, [] {
    return std::string("HTTP/1.1 000 X\r\nContent-Length: 1\r\n\r\nx");
  });
  CHECK(Run(port, false).outcome == attempt_outcome::kUnknown);
  context.stop();
}

// Regression: a line that begins with whitespace was joined to the field before
// it.
TEST_CASE_FIXTURE(runner_fixture,
                  "a response with a malformed line in its head is none") {
  for (const auto* line : {"B b: c", "B\x01: c", " B: c"}) {
    CAPTURE(line);
    for (const auto is_chat : {false, true}) {
      CAPTURE(is_chat);
      const auto port = StartRepeatingEndpoint(context, [line] {
        const auto body = Chunk("a") + "data: [DONE]\n\n";
        return "HTTP/1.1 200 OK\r\nA: a\r\n" + std::string(line) +
               "\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
      });
      CHECK(Run(port, is_chat).outcome == attempt_outcome::kUnknown);
      CHECK(output.empty());
    }
  }
  context.stop();
}

// Regression: the part that had arrived was taken for the whole response.
TEST_CASE_FIXTURE(runner_fixture,
                  "a response that ends in the middle of its request is none") {
  const auto upload = std::string(std::size_t{4} << 20U, 'x');
  for (const auto end : testing::kEarlyEnds) {
    for (const auto pause : {0, 30}) {
      CAPTURE(testing::EndName(end));
      CAPTURE(pause);
      const auto port = testing::StartEarlyEndpoint(
          context, {"HTTP/1.1 200 OK\r\n\r\n" + std::string(1'200, 'y'), end,
                    std::chrono::milliseconds(pause)});
      CHECK(Run(port, false, upload).outcome == attempt_outcome::kUnknown);
    }
  }
  // A chat call ends with an event of its own.
  const auto events = Chunk("a");
  const auto port = testing::StartEarlyEndpoint(
      context,
      {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + events});
  CHECK(Run(port, true, upload).outcome == attempt_outcome::kUnknown);
  context.stop();
}

// Regression: a response that an endpoint sent once more on a kept connection
// was taken for that of the next call.
TEST_CASE_FIXTURE(runner_fixture,
                  "a late second copy of a response is no other call's") {
  auto requests = 0;
  const auto port = StartRepeatingEndpoint(context, [&] {
    return "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" +
           std::to_string(++requests);
  });
  CHECK(Run(port, false).body == "1");
  CHECK(Run(port, false).body == "2");
  context.stop();
}

}  // namespace daisywind::gateway
