#include "control/table.h"

#include <doctest/doctest.h>

namespace daisywind::control {

TEST_CASE("lists and maps of objects become tables") {
  const auto value = json::parse(
      R"({"newest":2,"vms":[{"vm":"a","s":1.5},{"vm":"bcd","s":null}],)"
      R"("need":{"x":{"n":1}},"silent":[]})");
  CHECK(RenderTable(value) ==
        "newest: 2\n"
        "vms:\n"
        "vm   s\n"
        "a    1.5\n"
        "bcd  -\n"
        "need:\n"
        "name  n\n"
        "x     1\n"
        "silent: []\n");
}

TEST_CASE("indented JSON parses to the same value") {
  const auto value = json::parse(R"({"a":[1,{"b":"c\n"}],"d":{},"e":[]})");
  CHECK(json::parse(RenderIndented(value)) == value);
  CHECK(RenderIndented(json::parse(R"({"a":1})")) == "{\n  \"a\": 1\n}\n");
}

}  // namespace daisywind::control
