#include "common/digest.h"

#include <doctest/doctest.h>

namespace daisywind {

TEST_CASE("digests match the published SHA-256 vectors") {
  CHECK(Sha256Hex("abc") ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  CHECK(ToString(DigestOf("abc")) == "ba7816bf8f01cfea414140de5dae2223");
}

TEST_CASE("a hash chain depends on the order and content of its texts") {
  const auto start = digest{};
  const auto ab = Extend(Extend(start, "a"), "b");
  const auto ba = Extend(Extend(start, "b"), "a");
  CHECK(ab != ba);
  CHECK(ab == Extend(Extend(start, "a"), "b"));
  CHECK(ab != Extend(start, "ab"));
}

TEST_CASE(
    "constant-time comparison detects differences in content and length") {
  CHECK(EqualInConstantTime("key", "key"));
  CHECK_FALSE(EqualInConstantTime("key", "kez"));
  CHECK_FALSE(EqualInConstantTime("key", "keys"));
}

}  // namespace daisywind
