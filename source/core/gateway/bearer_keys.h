// Bearer keys, stored as SHA-256 digests and compared in constant time.
#ifndef DAISYWIND_GATEWAY_BEARER_KEYS_H_
#define DAISYWIND_GATEWAY_BEARER_KEYS_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "common/ids.h"

namespace daisywind::gateway {

// Returns the key of an Authorization header with the Bearer scheme, or an
// empty string for any other header.
auto BearerKey(std::string_view authorization) -> std::string_view;

// Whether the SHA-256 digest of the key equals key_digest, which is given in
// hexadecimal digits. False for an empty key.
auto MatchesDigest(std::string_view key, std::string_view key_digest) -> bool;

// Finds organisations by the digests of their keys.
class organisation_keys {
 public:
  // Replaces all keys. The digests are SHA-256 in hexadecimal digits.
  auto Set(std::map<organisation_id, std::string> digests) -> void;

  // Returns the organisation that owns the key. Compares all digests, so that
  // the time taken does not reveal which of them matched.
  [[nodiscard]] auto Find(std::string_view key) const
      -> std::optional<organisation_id>;

 private:
  std::map<organisation_id, std::string> digests_;
};

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_BEARER_KEYS_H_
