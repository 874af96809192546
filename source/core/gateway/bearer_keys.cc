#include "gateway/bearer_keys.h"

#include <utility>

#include "common/digest.h"

namespace daisywind::gateway {

auto BearerKey(std::string_view authorization) -> std::string_view {
  constexpr std::string_view kScheme = "Bearer ";
  if (!authorization.starts_with(kScheme)) {
    return {};
  }
  return authorization.substr(kScheme.size());
}

auto MatchesDigest(std::string_view key, std::string_view key_digest) -> bool {
  return !key.empty() && EqualInConstantTime(Sha256Hex(key), key_digest);
}

auto organisation_keys::Set(std::map<organisation_id, std::string> digests)
    -> void {
  digests_ = std::move(digests);
}

auto organisation_keys::Find(std::string_view key) const
    -> std::optional<organisation_id> {
  if (key.empty()) {
    return std::nullopt;
  }
  const auto wanted = Sha256Hex(key);
  auto found = std::optional<organisation_id>{};
  for (const auto& [organisation, key_digest] : digests_) {
    if (EqualInConstantTime(wanted, key_digest)) {
      found = organisation;
    }
  }
  return found;
}

}  // namespace daisywind::gateway
