#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "relay/relay_client.h"
#include "relay/relay_server.h"

namespace daisywind::relay {
namespace {

namespace asio = boost::asio;
using net::http_outcome;

// Generous, because the machine may be busy.
constexpr auto kStepTimeout = std::chrono::seconds(30);

// What a sender has received of one attempt.
struct received_response {
  relay_result result;
  std::string body;
  bool is_complete = false;
};

class fixture {
 public:
  explicit fixture(relay_handler handler)
      : server(context, 8, nullptr, std::move(handler)),
        port(server.Listen({"127.0.0.1", 0})) {}

  auto Address() const -> std::string {
    return "127.0.0.1:" + std::to_string(port);
  }

  auto RunUntil(const std::function<bool()>& condition) -> bool {
    const auto end = std::chrono::steady_clock::now() + kStepTimeout;
    while (!condition() && std::chrono::steady_clock::now() < end) {
      context.restart();
      context.run_for(std::chrono::milliseconds(2));
    }
    return condition();
  }

  // Starts an attempt whose response is stored in `to` when it has ended.
  auto Start(std::optional<received_response>& to,
             const std::string& address,
             net::http_options options = {},
             duration head_timeout = 20s) -> void {
    asio::co_spawn(
        context,
        [](relay_client& from, std::string relay, net::http_options with,
           duration limit,
           std::optional<received_response>& into) -> asio::awaitable<void> {
          auto request = attempt_request{};
          request.endpoint = endpoint_id("e");
          request.request.target = "/x";
          request.head_timeout = limit;
          auto received = received_response{};
          received.result = co_await from.Open(
              std::move(relay), std::move(request), std::move(with));
          if (auto* body = received.result.response.body.get()) {
            while (auto part = co_await body->Next()) {
              received.body += *part;
            }
            received.is_complete = body->IsComplete();
          }
          into = std::move(received);
        }(client, address, std::move(options), head_timeout, to),
        asio::detached);
  }

  auto Send(const std::string& address, duration head_timeout = 20s)
      -> received_response {
    auto received = std::optional<received_response>{};
    Start(received, address, {}, head_timeout);
    REQUIRE(RunUntil([&] { return received.has_value(); }));
    return std::move(*received);
  }

  asio::io_context context{1};
  relay_server server;
  std::uint16_t port;
  relay_client client{context};
};

auto ResponseHead() -> net::http_response {
  return {200, {{"Id", "r"}}, ""};
}

auto RespondWith(const response_end& end) -> relay_handler {
  return
      [end](std::shared_ptr<relay_exchange> exchange) -> asio::awaitable<void> {
        exchange->SendHead({ResponseHead(), net::body_framing::kChunks});
        exchange->SendPart("one ");
        exchange->SendPart("two");
        exchange->SendEnd(end);
        co_return;
      };
}

}  // namespace

TEST_CASE("a response arrives through the relay as it is sent") {
  auto net =
      fixture(RespondWith({http_outcome::kAnswered, true, 0, std::string()}));
  for (auto i = 0; i < 3; ++i) {
    const auto received = net.Send(net.Address());
    CHECK(received.result.response.outcome == http_outcome::kAnswered);
    CHECK(received.result.response.head.Header("Id") == "r");
    CHECK(received.body == "one two");
    CHECK(received.is_complete);
  }
}

TEST_CASE("a response that broke off at the relay is incomplete") {
  auto net =
      fixture(RespondWith({http_outcome::kAnswered, false, 5, std::string()}));
  const auto received = net.Send(net.Address());
  CHECK(received.result.response.outcome == http_outcome::kAnswered);
  CHECK(received.body == "one two");
  CHECK(!received.is_complete);
}

// Guards against a relay of an earlier version, which passes such a head on.
TEST_CASE("a status outside 100 to 599 from a relay is no answer") {
  for (const auto status : {0U, 99U, 600U}) {
    CAPTURE(status);
    auto net = fixture([status](std::shared_ptr<relay_exchange> exchange)
                           -> asio::awaitable<void> {
      exchange->SendHead({{status, {}, ""}, net::body_framing::kLength});
      exchange->SendEnd({http_outcome::kAnswered, true, 0, std::string()});
      co_return;
    });
    const auto received = net.Send(net.Address());
    CHECK(received.result.response.outcome == http_outcome::kNoAnswer);
    CHECK(!received.result.is_relay_unusable);
  }
}

TEST_CASE("a relay that refuses the connection got no byte of the request") {
  auto net = fixture(RespondWith({}));
  const auto received = net.Send("127.0.0.1:1");
  CHECK(received.result.response.outcome == http_outcome::kNotSent);
  CHECK(received.result.is_relay_unusable);
}

TEST_CASE("a request may have run when its relay is lost") {
  auto requests = 0;
  auto net = fixture(
      [&](std::shared_ptr<relay_exchange> exchange) -> asio::awaitable<void> {
        ++requests;
        // Never responds.
        auto timer = asio::steady_timer(co_await asio::this_coro::executor,
                                        std::chrono::seconds(60));
        const auto cancellation = exchange->cancellation();
        cancellation->SetHook([&timer] { timer.cancel(); });
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
      });
  auto received = std::optional<received_response>{};
  net.Start(received, net.Address());
  REQUIRE(net.RunUntil([&] { return requests == 1; }));
  net.server.Close();
  REQUIRE(net.RunUntil([&] { return received.has_value(); }));
  CHECK(received->result.response.outcome == http_outcome::kNoAnswer);
  CHECK(received->result.is_relay_unusable);
}

TEST_CASE("the relay's word that nothing was sent is passed on") {
  auto net = fixture(
      [](std::shared_ptr<relay_exchange> exchange) -> asio::awaitable<void> {
        exchange->SendEnd({http_outcome::kNotSent, false, 0, "no path"});
        co_return;
      });
  auto received = net.Send(net.Address());
  CHECK(received.result.response.outcome == http_outcome::kNotSent);
  CHECK(received.result.response.error == "no path");
  CHECK(!received.result.is_relay_unusable);
  net.server.Drain();
  received = net.Send(net.Address());
  CHECK(received.result.response.outcome == http_outcome::kNotSent);
  CHECK(received.result.is_relay_unusable);
}

TEST_CASE("a cancelled attempt is cancelled at the relay") {
  auto started = 0;
  auto cancelled = 0;
  auto net = fixture(
      [&](std::shared_ptr<relay_exchange> exchange) -> asio::awaitable<void> {
        ++started;
        auto timer = asio::steady_timer(co_await asio::this_coro::executor,
                                        std::chrono::seconds(60));
        exchange->cancellation()->SetHook([&timer] { timer.cancel(); });
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        cancelled += exchange->cancellation()->IsCancelled() ? 1 : 0;
        exchange->SendEnd({});
      });
  auto options = net::http_options{};
  options.cancellation = std::make_shared<net::http_cancellation>();
  auto received = std::optional<received_response>{};
  net.Start(received, net.Address(), options);
  REQUIRE(net.RunUntil([&] { return started == 1; }));
  options.cancellation->Cancel();
  REQUIRE(net.RunUntil([&] { return received && cancelled == 1; }));
  CHECK(received->result.response.outcome == http_outcome::kNoAnswer);
  CHECK(!received->result.is_relay_unusable);
  // A time-out cancels as well.
  CHECK(net.Send(net.Address(), 50ms).result.response.outcome ==
        http_outcome::kNoAnswer);
  CHECK(net.RunUntil([&] { return cancelled == 2; }));
  CHECK(net.server.ActiveCount() == 0);
}

}  // namespace daisywind::relay
