#include "dispatch/organisation_table.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

namespace daisywind::dispatch {
namespace {

auto Organisation(const char* id, std::vector<std::string> keys)
    -> organisation {
  auto item = organisation{};
  item.id = organisation_id(id);
  item.api_keys = std::move(keys);
  return item;
}

auto Table(std::vector<organisation> organisations) -> organisation_table {
  auto table = organisation_table();
  table.Install(std::optional(std::move(organisations)));
  return table;
}

auto OwnerOf(const organisation_table& table, const char* key) -> std::string {
  const auto owner = table.FindByKey(key);
  return owner == nullptr ? "" : owner->id.value;
}

// Guards against keys that identify the wrong organisation.
TEST_CASE("each key identifies the organisation that lists it") {
  const auto table =
      Table({Organisation("a", {"k1", "k2"}), Organisation("b", {"k3"})});
  CHECK(table.RequiresKeys());
  CHECK(OwnerOf(table, "k1") == "a");
  CHECK(OwnerOf(table, "k2") == "a");
  CHECK(OwnerOf(table, "k3") == "b");
}

// Guards against callers that are served without a valid key.
TEST_CASE("unknown and empty keys identify nobody") {
  const auto table = Table({Organisation("a", {"k1", ""})});
  CHECK(OwnerOf(table, "").empty());
  CHECK(OwnerOf(table, "k").empty());
  CHECK(OwnerOf(table, "k11").empty());
  CHECK(OwnerOf(table, "K1").empty());
}

// Guards against one organisation that takes over another's key by listing it.
TEST_CASE("a key of several organisations identifies none of them") {
  const auto table =
      Table({Organisation("a", {"both", "k1"}), Organisation("b", {"both"}),
             Organisation("c", {"both", "k3"})});
  CHECK(OwnerOf(table, "both").empty());
  CHECK(OwnerOf(table, "k1") == "a");
  CHECK(OwnerOf(table, "k3") == "c");
}

// Guards against a repeated key that locks its only owner out.
TEST_CASE("a key that one organisation lists twice is its key") {
  CHECK(OwnerOf(Table({Organisation("a", {"k1", "k1"})}), "k1") == "a");
}

// Guards against withdrawn keys that stay in the table.
TEST_CASE("a newer configuration replaces all organisations") {
  auto table = Table({Organisation("a", {"k1"}), Organisation("b", {"k2"})});
  table.Install(std::vector{Organisation("a", {"k3"})});
  CHECK(OwnerOf(table, "k1").empty());
  CHECK(OwnerOf(table, "k2").empty());
  CHECK(OwnerOf(table, "k3") == "a");
}

// Guards against a dangling organisation in a request that outlasts the
// configuration it was found in.
TEST_CASE("an organisation that was found outlasts its configuration") {
  auto table = Table({Organisation("a", {"k1"})});
  const auto owner = table.FindByKey("k1");
  table.Install(std::nullopt);
  REQUIRE(owner != nullptr);
  CHECK(owner->id.value == "a");
}

// Guards against an empty list that lets every caller in.
TEST_CASE("keys are needed if there is a list, even an empty one") {
  auto table = organisation_table();
  CHECK_FALSE(table.RequiresKeys());
  table.Install(std::vector<organisation>{});
  CHECK(table.RequiresKeys());
  CHECK(OwnerOf(table, "k1").empty());
  table.Install(std::nullopt);
  CHECK_FALSE(table.RequiresKeys());
}

// Guards against keys in the memory of a front longer than they are needed.
TEST_CASE("no key is kept") {
  const auto table = Table({Organisation("a", {"k1"})});
  CHECK(table.FindByKey("k1")->api_keys.empty());
}

}  // namespace
}  // namespace daisywind::dispatch
