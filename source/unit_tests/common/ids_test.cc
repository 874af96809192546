#include "common/ids.h"

#include <doctest/doctest.h>

namespace daisywind {

TEST_CASE("a formatted program identifier parses to the same value") {
  const auto id = program_id{0x0123456789abcdefULL, 42};
  const auto parsed = ParseProgramId(ToString(id));
  REQUIRE(parsed.has_value());
  CHECK(*parsed == id);
}

TEST_CASE("invalid program identifiers are rejected") {
  CHECK_FALSE(ParseProgramId("").has_value());
  CHECK_FALSE(ParseProgramId("0123").has_value());
  CHECK_FALSE(ParseProgramId(std::string(32, 'x')).has_value());
}

}  // namespace daisywind
