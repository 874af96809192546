// Digests: cryptographic ones that prove content, and fast hashes for
// placement.
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

// Digest of a text.
auto DigestOf(std::string_view text) -> digest;

// Digest of a chain of texts: the digest so far extended by one more text.
auto Extend(const digest& chain, std::string_view text) -> digest;

// Renders a digest as 32 hexadecimal digits.
auto ToString(const digest& value) -> std::string;

// The whole SHA-256 digest of a text as 64 hexadecimal digits.
auto Sha256Hex(std::string_view text) -> std::string;

// HMAC-SHA-256 of a text as 64 hexadecimal digits.
auto HmacSha256Hex(std::string_view key, std::string_view text) -> std::string;

// Compares two texts in a time that depends on their lengths only.
auto EqualInConstantTime(std::string_view a, std::string_view b) -> bool;

// Fast 64-bit hash for placement. It is the same on every machine.
auto PlacementHash(std::string_view text, std::uint64_t seed = 0)
    -> std::uint64_t;

}  // namespace daisywind

template <>
struct std::hash<daisywind::digest> {
  auto operator()(const daisywind::digest& value) const -> std::size_t;
};

#endif  // DAISYWIND_COMMON_DIGEST_H_
