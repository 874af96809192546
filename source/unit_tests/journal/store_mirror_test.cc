#include "journal/store_mirror.h"

#include <doctest/doctest.h>

#include <cstddef>
#include <string>

#include "common/deflate.h"

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

TEST_CASE("the changes since a revision have each key once") {
  auto mirror = store_mirror{};
  mirror.Replace(
      {{Item("a", "1", 3), Item("b", "2", 4), Item("c", "3", 5)}, 5});
  mirror.Apply({{{Item("a", "8", 6), /*is_removed=*/false},
                 {Item("a", "9", 7), /*is_removed=*/false},
                 {Item("b", "", 8), /*is_removed=*/true}},
                8});
  const auto reply = mirror.ReplyTo({5, /*wants_changes=*/true});
  REQUIRE(reply.copy);
  CHECK(reply.has_only_changes);
  CHECK(reply.copy->revision_at == 8);
  CHECK(reply.copy->items == std::vector<kv::key_value>{Item("a", "9", 7)});
  CHECK(reply.removed == std::vector<std::string>{"b"});
  CHECK_FALSE(mirror.ReplyTo({8, /*wants_changes=*/true}).copy);
  CHECK(mirror.ReplyTo({7, /*wants_changes=*/true}).copy->items.empty());
}

TEST_CASE("a key that was removed and written again is a change only") {
  auto mirror = store_mirror{};
  mirror.Replace({{Item("a", "1", 3)}, 5});
  mirror.Apply({{{Item("a", "", 6), /*is_removed=*/true},
                 {Item("a", "2", 7), /*is_removed=*/false}},
                7});
  const auto reply = mirror.ReplyTo({5, /*wants_changes=*/true});
  CHECK(reply.removed.empty());
  CHECK(reply.copy->items.size() == 1);
}

TEST_CASE("what a listing lacks has been removed") {
  auto mirror = store_mirror{};
  mirror.Replace({{Item("a", "1", 3), Item("b", "1", 4)}, 5});
  mirror.Replace({{Item("b", "2", 7)}, 9});
  const auto reply = mirror.ReplyTo({5, /*wants_changes=*/true});
  REQUIRE(reply.copy);
  CHECK(reply.has_only_changes);
  CHECK(reply.copy->items == std::vector<kv::key_value>{Item("b", "2", 7)});
  CHECK(reply.removed == std::vector<std::string>{"a"});
}

// Another VM may know a key that was written and removed between the listings.
TEST_CASE("changes since a revision between two listings are not known") {
  auto mirror = store_mirror{};
  mirror.Replace({{Item("a", "1", 3)}, 5});
  mirror.Replace({{}, 9});
  const auto reply = mirror.ReplyTo({7, /*wants_changes=*/true});
  REQUIRE(reply.copy);
  CHECK_FALSE(reply.has_only_changes);
  CHECK(mirror.ReplyTo({7}).copy->items.empty());
  CHECK_FALSE(mirror.ReplyTo({4, /*wants_changes=*/true}).has_only_changes);
}

TEST_CASE("removals before a copy from the disk are not known") {
  auto mirror = store_mirror{};
  mirror.Restore({5, {Item("a", "1", 3)}});
  mirror.Replace({{}, 9});
  CHECK_FALSE(mirror.ReplyTo({4, /*wants_changes=*/true}).has_only_changes);
  CHECK(mirror.ReplyTo({5, /*wants_changes=*/true}).has_only_changes);
}

TEST_CASE("a copy from the disk replaces only an older state") {
  auto mirror = store_mirror{};
  mirror.Replace({{Item("a", "1", 3)}, 5});
  mirror.Restore({4, {Item("a", "0", 2)}});
  CHECK(mirror.CopyIfNewer(0)->items.front().value == "1");
  mirror.Restore({6, {Item("a", "2", 6)}});
  CHECK(mirror.CopyIfNewer(0)->items.front().value == "2");
}

TEST_CASE("large values are compressed for those that take it") {
  const auto value = std::string(std::size_t{100} * 1024, 'r');
  auto mirror = store_mirror{};
  mirror.Replace({{Item("a", "1", 3), Item("b", value.c_str(), 4)}, 5});
  auto request = history::copy_request{2, /*wants_changes=*/true};
  CHECK(mirror.ReplyTo(request).copy->items.size() == 2);
  CHECK(mirror.ReplyTo(request).deflated.empty());
  request.takes_deflated = true;
  const auto reply = mirror.ReplyTo(request);
  CHECK(reply.copy->items == std::vector<kv::key_value>{Item("a", "1", 3)});
  REQUIRE(reply.deflated.size() == 1);
  const auto& deflated = reply.deflated.front();
  CHECK(deflated.size == value.size());
  CHECK(deflated.item.mod_revision == 4);
  CHECK(Inflate(deflated.item.value, deflated.size) == value);
  mirror.Apply({{{Item("a", "2", 6), /*is_removed=*/false}}, 6});
  request.known = 5;
  CHECK(mirror.ReplyTo(request).copy->items.size() == 1);
  CHECK(mirror.ReplyTo(request).deflated.empty());
}

TEST_CASE("only the revision is sent to those that ask for it") {
  auto mirror = store_mirror{};
  mirror.Replace({{Item("a", "1", 3)}, 5});
  auto request = history::copy_request{2};
  request.wants_revision = true;
  CHECK_FALSE(mirror.ReplyTo(request).copy);
  CHECK(mirror.ReplyTo(request).revision_at == 5);
}

}  // namespace
}  // namespace daisywind::journal
