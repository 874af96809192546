#include "history/limit_registry.h"

#include <doctest/doctest.h>

namespace daisywind::history {
namespace {

constexpr auto kNow = instant(100s);
constexpr auto kFirstVersion = std::uint64_t{7};
constexpr auto kEndpoint = endpoint_key{1};

auto Sender(const char* vm) -> sender_state {
  return {{vm_id(vm), failure_domain_id("d"), region_id("r")}, "", true};
}

TEST_CASE("a sender gets the state only when its version differs") {
  auto registry = limit_registry(kFirstVersion);
  const auto first = registry.Handle({Sender("a"), {}, 0}, kNow);
  REQUIRE(first.state);
  CHECK(first.state->senders == std::vector{Sender("a")});
  const auto second = registry.Handle({Sender("a"), {}, first.version}, kNow);
  CHECK(second.version == first.version);
  CHECK_FALSE(second.state);
  const auto other = registry.Handle({Sender("b"), {}, 0}, kNow);
  CHECK(other.version != first.version);
  REQUIRE(other.state);
  CHECK(other.state->senders.size() == 2);
}

TEST_CASE("a silent sender no longer counts") {
  auto registry = limit_registry(kFirstVersion);
  registry.Handle({Sender("a"), {}, 0}, kNow);
  const auto before = registry.Handle({Sender("b"), {}, 0}, kNow + 2s);
  const auto after =
      registry.Handle({Sender("b"), {}, before.version}, kNow + 4s);
  REQUIRE(after.state);
  CHECK(after.state->senders == std::vector{Sender("b")});
}

TEST_CASE("the newest sample of a limit counts") {
  auto registry = limit_registry(kFirstVersion);
  const auto limit_after = [&](std::optional<double> per_second, duration age,
                               instant now) {
    const auto reply =
        registry.Handle({Sender("a"), {{kEndpoint, per_second, age}}, 0}, now);
    return reply.state->limits.at(0).per_second;
  };
  CHECK(limit_after(2.0, 0s, kNow) == 2.0);
  CHECK(limit_after(std::nullopt, 2s, kNow + 1s) == 2.0);
  CHECK(limit_after(3.0, 0s, kNow + 1s) == 3.0);
  CHECK(limit_after(std::nullopt, 0s, kNow + 2s) == std::nullopt);
  CHECK(limit_after(3.0, 1500ms, kNow + 3s) == std::nullopt);
}

TEST_CASE("a repeated sample is no change and keeps the limit alive") {
  auto registry = limit_registry(kFirstVersion);
  auto version = std::uint64_t{0};
  for (auto now = kNow; now < kNow + 200s; now += 2s) {
    const auto reply =
        registry.Handle({Sender("a"), {{kEndpoint, 2.0, 0s}}, version}, now);
    CHECK(reply.state.has_value() == (now == kNow));
    version = reply.version;
  }
  const auto later = registry.Handle({Sender("a"), {}, 0}, kNow + 300s);
  CHECK(later.state->limits.empty());
}

}  // namespace
}  // namespace daisywind::history
