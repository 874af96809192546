#include "dispatch/organisation_table.h"

#include <utility>

#include "common/digest.h"

namespace daisywind::dispatch {

auto organisation_table::Install(
    const std::optional<std::vector<organisation>>& organisations) -> void {
  requires_keys_ = organisations.has_value();
  by_key_.clear();
  if (!organisations) {
    return;
  }
  for (const auto& item : *organisations) {
    auto without_keys = item;
    without_keys.api_keys.clear();
    const auto owner =
        std::make_shared<const organisation>(std::move(without_keys));
    for (const auto& key : item.api_keys) {
      const auto [entry, is_new] = by_key_.try_emplace(Sha256Hex(key), owner);
      if (!is_new && entry->second != owner) {
        entry->second = nullptr;
      }
    }
  }
}

auto organisation_table::FindByKey(std::string_view api_key) const
    -> std::shared_ptr<const organisation> {
  if (api_key.empty()) {
    return nullptr;
  }
  const auto found = by_key_.find(Sha256Hex(api_key));
  return found == by_key_.end() ? nullptr : found->second;
}

}  // namespace daisywind::dispatch
