// Cryptographic digests that identify content, and fast hashes for placement.
#ifndef DAISYWIND_COMMON_DIGEST_H_
#define DAISYWIND_COMMON_DIGEST_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace daisywind {

inline constexpr std::size_t kDigestBytes = 16;

// The first 128 bits of a SHA-256 digest.
struct digest {
  std::array<std::uint8_t, kDigestBytes> bytes{};

  auto operator<=>(const digest&) const = default;
};

auto DigestOf(std::string_view text) -> digest;

// Extends a hash chain by one text: the digest of `chain` followed by the
// digest of `text`. It depends on the content and order of all texts.
auto Extend(const digest& chain, std::string_view text) -> digest;

// Formats a digest as 32 hexadecimal digits.
auto ToString(const digest& value) -> std::string;

// The full SHA-256 digest of a text as 64 hexadecimal digits.
auto Sha256Hex(std::string_view text) -> std::string;

// HMAC-SHA-256 of a text as 64 hexadecimal digits.
auto HmacSha256Hex(std::string_view key, std::string_view text) -> std::string;

// Compares two texts in constant time for a given length, so that the timing
// does not reveal a secret.
auto EqualInConstantTime(std::string_view a, std::string_view b) -> bool;

// Fast non-cryptographic 64-bit hash (XXH3) for placement. All machines
// compute the same value.
auto PlacementHash(std::string_view text, std::uint64_t seed = 0)
    -> std::uint64_t;

}  // namespace daisywind

template <>
struct std::hash<daisywind::digest> {
  auto operator()(const daisywind::digest& value) const -> std::size_t;
};

#endif  // DAISYWIND_COMMON_DIGEST_H_
