#include "load/gateway_pool.h"

namespace daisywind::load {

gateway_pool::gateway_pool(const std::vector<net::socket_address>& addresses,
                           random_source& random)
    : random_(random) {
  for (const auto& address : addresses) {
    gateways_.push_back({address, instant()});
  }
}

auto gateway_pool::Pick(instant now,
                        const std::optional<net::socket_address>& last)
    -> net::socket_address {
  auto candidates = std::vector<const gateway*>{};
  for (const auto& item : gateways_) {
    if (item.down_until <= now && item.address != last) {
      candidates.push_back(&item);
    }
  }
  if (candidates.empty()) {
    return gateways_[random_.UniformBelow(gateways_.size())].address;
  }
  return candidates[random_.UniformBelow(candidates.size())]->address;
}

auto gateway_pool::MarkDown(const net::socket_address& address, instant now)
    -> void {
  for (auto& item : gateways_) {
    if (item.address == address) {
      item.down_until = now + kDownTime;
    }
  }
}

}  // namespace daisywind::load
