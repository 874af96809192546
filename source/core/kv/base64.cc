#include "kv/base64.h"

#include <openssl/evp.h>

#include <algorithm>

namespace daisywind::kv {
namespace {

constexpr auto kTextGroup = std::size_t{4};
constexpr auto kByteGroup = std::size_t{3};

}  // namespace

auto EncodeBase64(std::string_view bytes) -> std::string {
  const auto groups = (bytes.size() + kByteGroup - 1) / kByteGroup;
  auto out = std::string(groups * kTextGroup + 1, '\0');
  EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                  reinterpret_cast<const unsigned char*>(bytes.data()),
                  static_cast<int>(bytes.size()));
  out.resize(groups * kTextGroup);
  return out;
}

auto DecodeBase64(std::string_view text) -> std::optional<std::string> {
  if (text.size() % kTextGroup != 0) {
    return std::nullopt;
  }
  auto out = std::string(text.size() / kTextGroup * kByteGroup, '\0');
  const auto size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (size < 0) {
    return std::nullopt;
  }
  // The decoder counts padding as zero bytes.
  const auto padding =
      static_cast<std::size_t>(std::count(text.begin(), text.end(), '='));
  if (padding > 2) {
    return std::nullopt;
  }
  out.resize(static_cast<std::size_t>(size) - padding);
  return out;
}

}  // namespace daisywind::kv
