#include "dispatch/waiting_line.h"

#include <doctest/doctest.h>

namespace daisywind::dispatch {
namespace {

constexpr auto kNow = instant(100s);

TEST_CASE("better priorities go first, then the least time, then arrival") {
  auto line = waiting_line{};
  const auto late = line.Join({1, kNow + 1s});
  const auto relaxed = line.Join({0, kNow + 9s});
  const auto urgent = line.Join({0, kNow + 2s});
  const auto equal = line.Join({0, kNow + 2s});
  for (const auto& next : {urgent, equal, relaxed, late}) {
    REQUIRE(next);
    CHECK(line.First() == next);
    CHECK(line.IsNext(*next));
    line.Leave(*next);
  }
  CHECK_FALSE(line.First());
}

// A new request would take what the waiting one has waited for.
TEST_CASE("a new request goes behind its equals") {
  auto line = waiting_line{};
  CHECK(line.IsNext({1, kNow}));
  REQUIRE(line.Join({1, kNow}));
  CHECK_FALSE(line.IsNext({1, kNow}));
  CHECK_FALSE(line.IsNext({1, kNow + 1s}));
  CHECK(line.IsNext({1, kNow - 1s}));
  CHECK(line.IsNext({0, kNow + 1s}));
}

TEST_CASE("the line is bounded") {
  auto line = waiting_line{};
  const auto first = line.Join({});
  for (auto i = std::size_t{1}; i < waiting_line::kMaxWaiting; ++i) {
    CHECK(line.Join({}));
  }
  CHECK_FALSE(line.Join({}));
  line.Leave(*first);
  CHECK(line.Join({}));
  CHECK(line.size() == waiting_line::kMaxWaiting);
}

TEST_CASE("no request waits for long or until its deadline") {
  CHECK(LongestWait(2s, 60s) == 500ms);
  CHECK(LongestWait(2s, 900ms) == 300ms);
  CHECK(LongestWait(2s, -1s) == 0s);
}

}  // namespace
}  // namespace daisywind::dispatch
