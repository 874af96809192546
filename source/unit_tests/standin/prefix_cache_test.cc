#include "standin/prefix_cache.h"

#include <doctest/doctest.h>

namespace daisywind::standin {

TEST_CASE("the least recently used block is evicted first") {
  auto cache = prefix_cache(2, /*checks_fencing=*/true);
  cache.Insert({"a"}, {});
  cache.Insert({"b"}, {});
  CHECK(cache.Match({"a"}) == 1);
  cache.Insert({"c"}, {});
  CHECK(cache.Contains("a"));
  CHECK_FALSE(cache.Contains("b"));
  CHECK(cache.events().back().type == cache_event_type::kStored);
}

TEST_CASE("a match ends at the first missing block") {
  auto cache = prefix_cache(4, /*checks_fencing=*/true);
  cache.Insert({"a", "c"}, {});
  CHECK(cache.Match({"a", "b", "c"}) == 1);
}

TEST_CASE("pinned blocks stay until their session is released") {
  auto cache = prefix_cache(1, /*checks_fencing=*/true);
  cache.Insert({"a"}, {});
  CHECK(cache.Pin("p", {"a"}, /*fence=*/1) == pin_outcome::kPinned);
  cache.Insert({"b"}, {});
  CHECK(cache.Contains("a"));
  CHECK_FALSE(cache.Contains("b"));
  CHECK(cache.Release("p"));
  CHECK_FALSE(cache.Release("p"));
  cache.Insert({"b"}, {});
  CHECK(cache.Contains("b"));
}

TEST_CASE(
    "a pin with a stale fencing number is rejected if fencing is checked") {
  for (const auto checks_fencing : {true, false}) {
    auto cache = prefix_cache(1, checks_fencing);
    CHECK(cache.Pin("p", {}, /*fence=*/2) == pin_outcome::kPinned);
    CHECK(cache.Release("p"));
    const auto stale_pin = cache.Pin("p", {}, /*fence=*/1);
    CHECK((stale_pin == pin_outcome::kStaleFence) == checks_fencing);
    CHECK(cache.SessionCount() == (checks_fencing ? 0 : 1));
  }
}

TEST_CASE("a cleared cache keeps its sessions without blocks") {
  auto cache = prefix_cache(2, /*checks_fencing=*/true);
  cache.Insert({"a", "b"}, {});
  cache.Pin("p", {"a"}, /*fence=*/1);
  cache.Clear({});
  // Number of blocks that the program has pinned.
  CHECK(cache.Sessions().at("p") == 0);
  CHECK(cache.Release("p"));
}

}  // namespace daisywind::standin
