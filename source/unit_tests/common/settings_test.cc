#include "common/settings.h"

#include <doctest/doctest.h>

#include <boost/leaf/handle_errors.hpp>
#include <string>

namespace daisywind {
namespace {

constexpr auto kPort =
    integer_setting{"listen.port", 8080, "port for callers", 1, 65535};
constexpr auto kName = string_setting{"vm", "", "name of this VM", 0, 0, true};
constexpr auto kBound = number_setting{"bound_s", 1.5, "a bound", 0, 10};
constexpr auto kIsFast = bool_setting{"is_fast", false, "a switch"};
constexpr auto kPeers = list_setting{"peers", "", "addresses of peers"};

auto MakeSettings() -> settings {
  return settings({Declare(kPort), Declare(kName), Declare(kBound),
                   Declare(kIsFast), DeclareList(kPeers)});
}

auto ErrorOf(auto&& action) -> std::string {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(action());
        return std::string("no error");
      },
      [](const settings_error& error) { return ToString(error); },
      [] { return std::string("untyped error"); });
}

auto ErrorOfText(std::string_view text) -> std::string {
  auto values = MakeSettings();
  return ErrorOf([&] { return values.AddText("a.json", text); });
}

}  // namespace

TEST_CASE("a later layer overrides an earlier one") {
  auto values = MakeSettings();
  CHECK(values.Get(kPort) == 8080);
  REQUIRE(values.AddText("a.json", R"({"listen":{"port":9},"peers":["x"]})"));
  CHECK(values.Get(kPort) == 9);
  REQUIRE(values.AddOverride("listen.port=10"));
  CHECK(values.Get(kPort) == 10);
  CHECK(values.GetList(kPeers) == string_list{"x"});
}

TEST_CASE("a number setting accepts integers and fractions within its range") {
  auto values = MakeSettings();
  CHECK(values.Get(kBound) == 1.5);
  REQUIRE(values.AddText("a.json", R"({"bound_s":8})"));
  CHECK(values.Get(kBound) == 8.0);
  REQUIRE(values.AddText("b.json", R"({"bound_s":4.25})"));
  CHECK(values.Get(kBound) == 4.25);
  CHECK(ErrorOfText(R"({"bound_s":10.5})") ==
        "a.json: bound_s: found 1.05E1, expected a number from 0 to 10");
  CHECK(ErrorOfText(R"({"bound_s":"4"})") ==
        "a.json: bound_s: found \"4\", expected a number from 0 to 10");
}

TEST_CASE(
    "errors name the file, the key, the value found and the values expected") {
  CHECK(ErrorOfText(R"({"listen":{"port":70000}})") ==
        "a.json: listen.port: found 70000, expected an integer from 1 to "
        "65535");
  CHECK(ErrorOfText(R"({"listen":{"prt":1}})") ==
        "a.json: listen.prt: found an unknown key, expected a declared "
        "setting");
  CHECK(ErrorOfText(R"({"is_fast":"yes"})") ==
        "a.json: is_fast: found \"yes\", expected true or false");
  CHECK(ErrorOfText(R"({"listen":{"port":"8080"}})") ==
        "a.json: listen.port: found \"8080\", expected an integer from 1 to "
        "65535");
  CHECK(ErrorOfText("[1]").starts_with("a.json: (file): found [1]"));
  CHECK(ErrorOfText("{").starts_with("a.json: (file): found "));
}

TEST_CASE("a missing file and a missing required value are errors") {
  auto values = MakeSettings();
  CHECK(ErrorOf([&] { return values.AddFile("no/such/file.json"); }) ==
        "no/such/file.json: (file): found no readable file, expected a "
        "readable JSON file");
  REQUIRE(values.AddText("a.json", "{}"));
  CHECK(ErrorOf([&] { return values.CheckRequired(); }) ==
        "a.json: vm: found nothing, expected a string");
}

}  // namespace daisywind
