#include "membership_wire/member_json.h"

#include <doctest/doctest.h>

#include <string>
#include <string_view>

namespace daisywind::membership {
namespace {

auto ItemWith(std::string_view key, std::string_view value) -> kv::key_value {
  return {std::string(key), std::string(value), 1, 1};
}

constexpr auto kKey = std::string_view("daisywind/members/vm1");

TEST_CASE("a member is read as it was written") {
  auto written = member{};
  written.ref = {vm_id("vm1"), 7};
  written.address = "10.0.0.1:7000";
  written.failure_domain = failure_domain_id("d");
  written.region = region_id("r");
  const auto read =
      ParseMember(ItemWith(MemberKey(written.ref.vm), RenderMember(written)));
  REQUIRE(read);
  CHECK(*read == written);
}

TEST_CASE("an entry under the key of another VM does not speak for this one") {
  CHECK_FALSE(ParseMember(
      ItemWith("daisywind/members/other",
               R"({"vm":"vm1","run":9,"address":"10.0.0.1:7000"})")));
}

TEST_CASE("an odd member entry is no member") {
  for (const auto* value :
       {"", "7", "{", R"({"run":1,"address":"10.0.0.1:7000"})",
        R"({"vm":"vm1","address":"10.0.0.1:7000"})",
        R"({"vm":"vm1","run":-1,"address":"10.0.0.1:7000"})",
        R"({"vm":"vm1","run":1e300,"address":"10.0.0.1:7000"})",
        R"({"vm":"vm1","run":1,"address":"10.0.0.1:70000"})",
        R"({"vm":"vm1","run":1,"address":"10.0.0.1:0"})",
        R"({"vm":"vm1","run":1,"address":"nowhere"})"}) {
    CAPTURE(value);
    CHECK_FALSE(ParseMember(ItemWith(kKey, value)));
  }
}

}  // namespace
}  // namespace daisywind::membership
