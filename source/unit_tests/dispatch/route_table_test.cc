#include "dispatch/route_table.h"

#include <doctest/doctest.h>

#include <map>

namespace daisywind::dispatch {
namespace {

auto Route(const char* id, const char* host, const char* prefix) -> route {
  auto item = route{};
  item.id = route_id(id);
  item.host = host;
  item.prefix = prefix;
  item.services = {{service_id("s"), 1}};
  return item;
}

auto Configuration(version_number version) -> configuration {
  auto item = configuration{};
  item.version = version;
  item.routes = {Route("short", "h", "/a/"), Route("long", "h", "/a/b/"),
                 Route("other", "g", "/a/")};
  return item;
}

TEST_CASE("the host's route with the longest matching prefix is selected") {
  auto table = route_table{};
  REQUIRE(table.Install(Configuration(1)));
  CHECK(table.Find("h", "/a/x")->id == route_id("short"));
  CHECK(table.Find("h", "/a/b/x")->id == route_id("long"));
  CHECK(table.Find("h", "/a/b")->id == route_id("short"));
  CHECK(table.Find("g", "/a/b/x")->id == route_id("other"));
  CHECK(table.Find("h", "/ab/") == nullptr);
  CHECK(table.Find("unknown", "/a/") == nullptr);
}

TEST_CASE("a configuration that is not newer is not installed") {
  auto table = route_table{};
  REQUIRE(table.Install(Configuration(5)));
  CHECK_FALSE(table.Install(Configuration(5)));
  auto older = Configuration(4);
  older.routes.clear();
  CHECK_FALSE(table.Install(older));
  CHECK(table.version() == 5);
  CHECK(table.Find("h", "/a/") != nullptr);
}

TEST_CASE("a route in use outlives its configuration") {
  auto table = route_table{};
  table.Install(Configuration(1));
  const auto held = table.Find("h", "/a/");
  auto next = Configuration(2);
  next.routes.clear();
  table.Install(next);
  CHECK(table.Find("h", "/a/") == nullptr);
  CHECK(held->id == route_id("short"));
}

TEST_CASE("requests are split by weight and a key stays with its service") {
  auto split = Route("r", "h", "/");
  split.services = {{service_id("a"), 90}, {service_id("b"), 10}};
  auto counts = std::map<service_id, int>{};
  for (auto i = 0; i < 10'000; ++i) {
    const auto key = std::to_string(i);
    const auto picked = PickService(split, key);
    CHECK(picked == PickService(split, key));
    ++counts[picked];
  }
  CHECK(counts[service_id("b")] > 700);
  CHECK(counts[service_id("b")] < 1300);
}

TEST_CASE("a service of zero weight gets no request while another has weight") {
  auto split = Route("r", "h", "/");
  split.services = {{service_id("a"), 0}, {service_id("b"), 5}};
  for (auto i = 0; i < 100; ++i) {
    CHECK(PickService(split, std::to_string(i)) == service_id("b"));
  }
}

}  // namespace
}  // namespace daisywind::dispatch
