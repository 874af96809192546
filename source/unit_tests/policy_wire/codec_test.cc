#include "policy_wire/codec.h"

#include <doctest/doctest.h>

#include "common/random.h"

namespace daisywind::policy {
namespace {

auto Sample() -> quarantine_message {
  return {
      {{endpoint_id("agent-1"), instant(5s), {DigestOf("a"), DigestOf("b")}},
       {endpoint_id("agent-2"), instant(7s), {}}},
      {DigestOf("c")}};
}

}  // namespace

TEST_CASE("quarantine messages round-trip through the codec") {
  CHECK(DecodeMessage(EncodeMessage(Sample())) == Sample());
  CHECK(DecodeMessage(EncodeMessage({})) == quarantine_message{});
}

TEST_CASE("decoding corrupted bytes never reads out of bounds") {
  auto random = random_source(1);
  const auto good = EncodeMessage(Sample());
  for (auto i = 0; i < 2000; ++i) {
    auto bytes = good.substr(0, random.UniformBelow(good.size() + 1));
    if (!bytes.empty()) {
      bytes[random.UniformBelow(bytes.size())] =
          static_cast<char>(random.UniformBelow(256));
    }
    const auto decoded = DecodeMessage(bytes);
    if (decoded.has_value()) {
      CHECK(!EncodeMessage(*decoded).empty());
    }
  }
}

}  // namespace daisywind::policy
