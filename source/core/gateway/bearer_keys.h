// Bearer keys: kept as digests, compared in constant time.
#ifndef DAISYWIND_GATEWAY_BEARER_KEYS_H_
#define DAISYWIND_GATEWAY_BEARER_KEYS_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "common/ids.h"

namespace daisywind::gateway {

// The key of an Authorization header, or an empty text when there is none.
auto BearerKey(std::string_view authorization) -> std::string_view;

// True when the key's SHA-256 digest equals the given one.
auto MatchesDigest(std::string_view key, std::string_view key_digest) -> bool;

// Finds organisations by the digests of their keys.
class organisation_keys {
 public:
  // Replaces all keys.
  auto Set(std::map<organisation_id, std::string> digests) -> void;

  // The organisation whose key this is. Every digest is compared, so that the
  // time does not tell how far a search went.
  [[nodiscard]] auto Find(std::string_view key) const
      -> std::optional<organisation_id>;

 private:
  std::map<organisation_id, std::string> digests_;
};

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_BEARER_KEYS_H_
