#include "wire/envelope.h"

#include <doctest/doctest.h>

#include "common/random.h"

namespace daisywind::wire {
namespace {

auto Sample() -> envelope {
  return {{vm_id("vm-1"), 7},
          9,
          "127.0.0.1:7001",
          protocol::kMembership,
          std::string("a\0b", 3)};
}

}  // namespace

TEST_CASE("an encoded envelope decodes to the same value") {
  CHECK(DecodeEnvelope(EncodeEnvelope(Sample())) == Sample());
}

TEST_CASE("truncated frames are rejected") {
  const auto bytes = EncodeEnvelope(Sample());
  for (auto size = std::size_t{0}; size < bytes.size(); ++size) {
    const auto decoded =
        DecodeEnvelope(std::string_view(bytes).substr(0, size));
    CHECK((!decoded.has_value() || *decoded == Sample()));
  }
}

TEST_CASE("frames with corrupted bytes are never read out of bounds") {
  auto random = random_source(1);
  const auto good = EncodeEnvelope(Sample());
  for (auto i = 0; i < 2000; ++i) {
    auto bytes = good;
    bytes[random.UniformBelow(bytes.size())] =
        static_cast<char>(random.UniformBelow(256));
    const auto decoded = DecodeEnvelope(bytes);
    if (decoded.has_value()) {
      CHECK(decoded->payload.size() <= bytes.size());
    }
  }
}

}  // namespace daisywind::wire
