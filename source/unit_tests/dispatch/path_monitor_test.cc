#include "dispatch/path_monitor.h"

#include <doctest/doctest.h>

#include <string>

namespace daisywind::dispatch {
namespace {

constexpr auto kStart = instant(100s);
constexpr auto kEndpoints = std::size_t{10};

auto Endpoint(int number) -> endpoint_id {
  return endpoint_id("e" + std::to_string(number));
}

TEST_CASE("endpoints that refuse connections one after the other close it") {
  auto monitor = path_monitor();
  monitor.OnReceived(kStart);
  monitor.OnConnectFailed(Endpoint(1), kEndpoints);
  monitor.OnConnectFailed(Endpoint(2), kEndpoints);
  CHECK(monitor.State(kStart) == path_state::kOpen);
  monitor.OnConnectFailed(Endpoint(3), kEndpoints);
  // Open connections still bring responses.
  CHECK(monitor.State(kStart + 100ms) == path_state::kNoNewConnections);
  CHECK(monitor.State(kStart + 1s) == path_state::kClosed);
  monitor.OnConnected(kStart + 2s);
  CHECK(monitor.State(kStart + 2s) == path_state::kOpen);
}

TEST_CASE("one endpoint that fails does not close the path") {
  auto monitor = path_monitor();
  for (auto i = 0; i < 20; ++i) {
    monitor.OnConnectFailed(Endpoint(1), kEndpoints);
  }
  CHECK(monitor.State(kStart) == path_state::kOpen);
}

TEST_CASE("failures between successes do not close the path") {
  auto monitor = path_monitor();
  for (auto i = 0; i < 20; ++i) {
    monitor.OnConnectFailed(Endpoint(i), kEndpoints);
    if (i % 2 == 1) {
      monitor.OnConnected(kStart);
    }
  }
  CHECK(monitor.State(kStart) == path_state::kOpen);
}

TEST_CASE("a VM that knows one endpoint has no path without it") {
  auto monitor = path_monitor();
  monitor.OnConnectFailed(Endpoint(1), 1);
  CHECK(monitor.State(kStart) == path_state::kClosed);
}

TEST_CASE("several endpoints without a byte put open connections in doubt") {
  auto monitor = path_monitor();
  monitor.OnRequestSent(Endpoint(1), kStart);
  monitor.OnRequestSent(Endpoint(2), kStart + 100ms);
  CHECK(monitor.State(kStart + 500ms) == path_state::kOpen);
  CHECK(monitor.State(kStart + 501ms) == path_state::kSilent);
  // The end of these requests shows nothing of the path.
  monitor.OnRequestEnded(Endpoint(1));
  monitor.OnRequestEnded(Endpoint(2));
  CHECK(monitor.State(kStart + 2s) == path_state::kSilent);
  monitor.OnConnected(kStart + 3s);
  CHECK(monitor.State(kStart + 3s) == path_state::kOpen);
}

TEST_CASE("a byte from any endpoint shows that the path is open") {
  auto monitor = path_monitor();
  monitor.OnRequestSent(Endpoint(1), kStart);
  monitor.OnRequestSent(Endpoint(2), kStart);
  monitor.OnReceived(kStart + 400ms);
  CHECK(monitor.State(kStart + 800ms) == path_state::kOpen);
  CHECK(monitor.State(kStart + 901ms) == path_state::kSilent);
}

TEST_CASE("an endpoint that pauses is no sign against the path") {
  auto monitor = path_monitor();
  monitor.OnRequestSent(Endpoint(1), kStart);
  monitor.OnRequestSent(Endpoint(1), kStart);
  CHECK(monitor.State(kStart + 5s) == path_state::kOpen);
}

TEST_CASE("a silent VM that can't connect has no path until a byte arrives") {
  auto monitor = path_monitor();
  monitor.OnReceived(kStart);
  monitor.OnRequestSent(Endpoint(1), kStart);
  monitor.OnRequestSent(Endpoint(2), kStart);
  CHECK(monitor.State(kStart + 600ms) == path_state::kSilent);
  for (auto i = 1; i <= 3; ++i) {
    monitor.OnConnectFailed(Endpoint(i), kEndpoints);
  }
  CHECK(monitor.State(kStart + 700ms) == path_state::kClosed);
  monitor.OnReceived(kStart + 800ms);
  CHECK(monitor.State(kStart + 900ms) == path_state::kNoNewConnections);
}

}  // namespace
}  // namespace daisywind::dispatch
