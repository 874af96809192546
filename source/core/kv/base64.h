// Base64 as the key-value service's JSON uses it.
#ifndef DAISYWIND_KV_BASE64_H_
#define DAISYWIND_KV_BASE64_H_

#include <optional>
#include <string>
#include <string_view>

namespace daisywind::kv {

// Encodes bytes with padding.
auto EncodeBase64(std::string_view bytes) -> std::string;

// Decodes padded text. Returns nothing on any other text.
auto DecodeBase64(std::string_view text) -> std::optional<std::string>;

}  // namespace daisywind::kv

#endif  // DAISYWIND_KV_BASE64_H_
