#include "kv/base64.h"

#include <openssl/evp.h>

#include <algorithm>
#include <cstddef>

namespace daisywind::kv {
namespace {

// Base64 encodes each group of three bytes as four characters.
constexpr auto kCharactersPerGroup = std::size_t{4};
constexpr auto kBytesPerGroup = std::size_t{3};
constexpr auto kMaxPadding = std::size_t{2};

}  // namespace

auto EncodeBase64(std::string_view bytes) -> std::string {
  const auto groups = (bytes.size() + kBytesPerGroup - 1) / kBytesPerGroup;
  // EVP_EncodeBlock appends a zero byte.
  auto text = std::string(groups * kCharactersPerGroup + 1, '\0');
  EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                  reinterpret_cast<const unsigned char*>(bytes.data()),
                  static_cast<int>(bytes.size()));
  text.pop_back();
  return text;
}

auto DecodeBase64(std::string_view text) -> std::optional<std::string> {
  const auto end = std::min(text.find('='), text.size());
  const auto padding = text.size() - end;
  const auto is_padded =
      padding <= kMaxPadding &&
      text.substr(end).find_first_not_of('=') == std::string_view::npos;
  if (text.size() % kCharactersPerGroup != 0 || !is_padded) {
    return std::nullopt;
  }
  auto bytes =
      std::string(text.size() / kCharactersPerGroup * kBytesPerGroup, '\0');
  const auto size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (size != static_cast<int>(bytes.size())) {
    return std::nullopt;
  }
  bytes.resize(bytes.size() - padding);
  return bytes;
}

}  // namespace daisywind::kv
