// Base64 with padding (RFC 4648), the encoding of keys and values in the JSON
// bodies of the service.
#ifndef DAISYWIND_KV_BASE64_H_
#define DAISYWIND_KV_BASE64_H_

#include <optional>
#include <string>
#include <string_view>

namespace daisywind::kv {

auto EncodeBase64(std::string_view bytes) -> std::string;

// Returns nothing when the text is not base64 with padding.
auto DecodeBase64(std::string_view text) -> std::optional<std::string>;

}  // namespace daisywind::kv

#endif  // DAISYWIND_KV_BASE64_H_
