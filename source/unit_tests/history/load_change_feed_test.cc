#include "history/load_change_feed.h"

#include <doctest/doctest.h>

namespace daisywind::history {
namespace {

constexpr auto kStart = instant(100s);

TEST_CASE("each reader gets the changes since its last request") {
  auto feed = load_change_feed();
  feed.Put({1, 3, 0, 0ms}, kStart);
  feed.Put({2, 5, 1, 0ms}, kStart);
  const auto all = feed.ChangesSince(0, kStart);
  CHECK(all.samples.size() == 2);
  CHECK(feed.ChangesSince(all.up_to, kStart).samples.empty());
  feed.Put({1, 9, 0, 0ms}, kStart + 10ms);
  const auto later = feed.ChangesSince(all.up_to, kStart + 30ms);
  REQUIRE(later.samples.size() == 1);
  CHECK(later.samples[0] == load_sample{1, 9, 0, 20ms});
}

TEST_CASE("a small change is published only after the refresh interval") {
  auto feed = load_change_feed();
  feed.Put({1, 3, 0, 0ms}, kStart);
  const auto known = feed.ChangesSince(0, kStart).up_to;
  feed.Put({1, 4, 0, 0ms}, kStart + 10ms);
  CHECK(feed.ChangesSince(known, kStart + 10ms).samples.empty());
  feed.Put({1, 4, 0, 0ms}, kStart + 400ms);
  CHECK(feed.ChangesSince(known, kStart + 400ms).samples.size() == 1);
}

TEST_CASE("a delayed sample does not replace a newer one") {
  auto feed = load_change_feed();
  feed.Put({1, 3, 0, 0ms}, kStart);
  feed.Put({1, 9, 0, 50ms}, kStart + 20ms);
  const auto changes = feed.ChangesSince(0, kStart + 20ms);
  REQUIRE(changes.samples.size() == 1);
  CHECK(changes.samples[0].running == 3);
}

TEST_CASE("a failure is published at once and only once") {
  auto feed = load_change_feed();
  feed.Put({1, 3, 0, 0ms}, kStart);
  auto known = feed.ChangesSince(0, kStart).up_to;
  feed.Put({1, 3, 0, 0ms, 5ms}, kStart + 10ms);
  const auto changes = feed.ChangesSince(known, kStart + 10ms);
  REQUIRE(changes.samples.size() == 1);
  CHECK(changes.samples[0].failed_age == 5ms);
  known = changes.up_to;
  // An older sample from another VM that reports the same failure.
  feed.Put({1, 9, 0, 20ms, 13ms}, kStart + 20ms);
  CHECK(feed.ChangesSince(known, kStart + 20ms).samples.empty());
  feed.Put({1, 3, 0, 0ms, 0ms}, kStart + 100ms);
  CHECK(feed.ChangesSince(known, kStart + 100ms).samples.size() == 1);
}

TEST_CASE("a failure without a load report replaces no known load") {
  auto feed = load_change_feed();
  feed.PutFailure(1, kStart);
  const auto changes = feed.ChangesSince(0, kStart + 50ms);
  REQUIRE(changes.samples.size() == 1);
  CHECK(changes.samples[0].failed_age == 50ms);
  CHECK(changes.samples[0].age >= 4s);
  // Forwarded, it still does not replace a known load.
  auto other = load_change_feed();
  other.Put({1, 9, 0, 0ms}, kStart);
  other.Put(changes.samples[0], kStart + 100ms);
  const auto forwarded = other.ChangesSince(0, kStart + 100ms);
  REQUIRE(forwarded.samples.size() == 1);
  CHECK(forwarded.samples[0].running == 9);
  CHECK(forwarded.samples[0].failed_age == 50ms);
}

TEST_CASE("expired samples are not returned and are removed") {
  auto feed = load_change_feed();
  feed.Put({1, 3, 0, 0ms}, kStart);
  CHECK(feed.ChangesSince(0, kStart + 5s).samples.empty());
  feed.Put({2, 3, 0, 0ms}, kStart + 10s);
  CHECK(feed.size() == 1);
}

TEST_CASE(
    "a reader with a sequence number from before a restart gets everything") {
  auto feed = load_change_feed();
  feed.Put({1, 3, 0, 0ms}, kStart);
  CHECK(feed.ChangesSince(700, kStart).samples.size() == 1);
}

TEST_CASE("a message is bounded and holds the newest samples") {
  auto options = change_feed_options{};
  options.max_samples = 2;
  auto feed = load_change_feed(options);
  for (auto i = endpoint_key{1}; i <= 5; ++i) {
    feed.Put({i, 3, 0, 0ms}, kStart);
  }
  const auto changes = feed.ChangesSince(0, kStart);
  REQUIRE(changes.samples.size() == 2);
  CHECK(changes.samples[0].endpoint == 5);
  CHECK(changes.samples[1].endpoint == 4);
}

}  // namespace
}  // namespace daisywind::history
