#include "history_wire/view_json.h"

#include <doctest/doctest.h>

namespace daisywind::history {
namespace {

TEST_CASE("a view parses to what was rendered") {
  const auto sent = view{3,
                         {{vm_id("a"), disk_id("1"), "10.0.0.1:7380",
                           failure_domain_id("d"), region_id("r")}}};
  CHECK(ParseView(RenderView(sent)) == sent);
}

TEST_CASE("texts that are not a view are rejected") {
  for (const auto* text :
       {"", "[]", "{}", R"({"number":0,"members":[]})",
        R"({"number":"1","members":[]})", R"({"number":1,"members":[1]})",
        R"({"number":1,"members":{}})"}) {
    CAPTURE(text);
    CHECK_FALSE(ParseView(text));
  }
}

}  // namespace
}  // namespace daisywind::history
