#include "common/digest.h"

#define XXH_INLINE_ALL
#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <algorithm>
#include <cstring>
#include <span>

namespace daisywind {
namespace {

using sha256_bytes = std::array<std::uint8_t, SHA256_DIGEST_LENGTH>;

auto Sha256(std::string_view text) -> sha256_bytes {
  auto out = sha256_bytes{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         out.data());
  return out;
}

auto ToHex(std::span<const std::uint8_t> bytes) -> std::string {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  auto text = std::string{};
  text.reserve(bytes.size() * 2);
  for (const auto byte : bytes) {
    text.push_back(kDigits[byte >> 4U]);
    text.push_back(kDigits[byte & 0x0FU]);
  }
  return text;
}

}  // namespace

auto DigestOf(std::string_view text) -> digest {
  const auto full_digest = Sha256(text);
  auto value = digest{};
  std::copy_n(full_digest.begin(), kDigestBytes, value.bytes.begin());
  return value;
}

auto Extend(const digest& chain, std::string_view text) -> digest {
  const auto link = DigestOf(text);
  auto buffer = std::string(2 * kDigestBytes, '\0');
  std::memcpy(buffer.data(), chain.bytes.data(), kDigestBytes);
  std::memcpy(buffer.data() + kDigestBytes, link.bytes.data(), kDigestBytes);
  return DigestOf(buffer);
}

auto ToString(const digest& value) -> std::string {
  return ToHex(value.bytes);
}

auto Sha256Hex(std::string_view text) -> std::string {
  return ToHex(Sha256(text));
}

auto HmacSha256Hex(std::string_view key, std::string_view text) -> std::string {
  auto out = sha256_bytes{};
  auto size = static_cast<unsigned int>(out.size());
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       out.data(), &size);
  return ToHex(out);
}

auto EqualInConstantTime(std::string_view a, std::string_view b) -> bool {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

auto PlacementHash(std::string_view text, std::uint64_t seed) -> std::uint64_t {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

}  // namespace daisywind

auto std::hash<daisywind::digest>::operator()(
    const daisywind::digest& value) const -> std::size_t {
  auto out = std::size_t{0};
  std::memcpy(&out, value.bytes.data(), sizeof(out));
  return out;
}
