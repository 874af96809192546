#include "journal/store_mirror.h"

#include <doctest/doctest.h>

namespace daisywind::journal {
namespace {

auto Item(const char* key, const char* value, kv::revision at)
    -> kv::key_value {
  return {key, value, at, at};
}

TEST_CASE(
    "the mirror applies the changes of the store and copies only newer "
    "states") {
  auto mirror = store_mirror{};
  CHECK_FALSE(mirror.CopyIfNewer(0));
  mirror.Replace({{Item("a", "1", 3), Item("b", "2", 4)}, 5});
  mirror.Apply({{{Item("a", "9", 6), /*is_removed=*/false},
                 {Item("b", "", 7), /*is_removed=*/true}},
                7});
  const auto copy = mirror.CopyIfNewer(5);
  REQUIRE(copy);
  CHECK(copy->revision_at == 7);
  CHECK(copy->items == std::vector<kv::key_value>{Item("a", "9", 6)});
  CHECK_FALSE(mirror.CopyIfNewer(7));
}

TEST_CASE("a copy from the disk replaces only an older state") {
  auto mirror = store_mirror{};
  mirror.Replace({{Item("a", "1", 3)}, 5});
  mirror.Restore({4, {Item("a", "0", 2)}});
  CHECK(mirror.CopyIfNewer(0)->items.front().value == "1");
  mirror.Restore({6, {Item("a", "2", 6)}});
  CHECK(mirror.CopyIfNewer(0)->items.front().value == "2");
}

}  // namespace
}  // namespace daisywind::journal
