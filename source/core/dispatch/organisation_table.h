// Looks up organisations by the API keys of their callers.
#ifndef DAISYWIND_DISPATCH_ORGANISATION_TABLE_H_
#define DAISYWIND_DISPATCH_ORGANISATION_TABLE_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "dispatch/types.h"

namespace daisywind::dispatch {

// The organisations of the configuration in force. Holds digests of the API
// keys only.
class organisation_table {
 public:
  // Replaces all organisations. A key that two organisations list identifies
  // neither of them.
  auto Install(const std::optional<std::vector<organisation>>& organisations)
      -> void;

  // Whether callers of routes that are not public need an API key.
  [[nodiscard]] auto RequiresKeys() const -> bool { return requires_keys_; }

  // Returns the organisation that owns a key, or null. It stays valid while its
  // pointer is held, even after a newer configuration is installed.
  [[nodiscard]] auto FindByKey(std::string_view api_key) const
      -> std::shared_ptr<const organisation>;

 private:
  bool requires_keys_ = false;
  // By the SHA-256 digest of the key; null for a key of two organisations.
  std::unordered_map<std::string, std::shared_ptr<const organisation>> by_key_;
};

}  // namespace daisywind::dispatch

#endif  // DAISYWIND_DISPATCH_ORGANISATION_TABLE_H_
