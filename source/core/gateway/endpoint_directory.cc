#include "gateway/endpoint_directory.h"

namespace daisywind::gateway {

auto endpoint_directory::Update(const configuration::document& document)
    -> void {
  for (auto& [id, entry] : entries_) {
    entry.is_configured = false;
  }
  for (const auto& [id, endpoint] : document.endpoints) {
    const auto address = net::ParseSocketAddress(endpoint.address);
    if (address) {
      entries_[id] = {*address, endpoint.kind, true};
    }
  }
}

auto endpoint_directory::Find(const endpoint_id& endpoint) const
    -> std::optional<endpoint_entry> {
  const auto found = entries_.find(endpoint);
  if (found == entries_.end()) {
    return std::nullopt;
  }
  return found->second;
}

}  // namespace daisywind::gateway
