#include "dispatch/route_table.h"

#include <algorithm>
#include <utility>

#include "common/digest.h"

namespace daisywind::dispatch {

auto route_table::Install(const configuration& newest) -> bool {
  if (newest.version <= version_) {
    return false;
  }
  version_ = newest.version;
  limits_ = newest.limits;
  by_host_.clear();
  for (const auto& item : newest.routes) {
    by_host_[item.host].push_back(std::make_shared<const route>(item));
  }
  for (auto& [host, list] : by_host_) {
    std::stable_sort(list.begin(), list.end(),
                     [](const auto& a, const auto& b) {
                       return a->prefix.size() > b->prefix.size();
                     });
  }
  services_.clear();
  for (const auto& item : newest.services) {
    services_.emplace(item.id, item);
  }
  organisations_.Install(newest.organisations);
  return true;
}

auto route_table::Find(std::string_view host, std::string_view path) const
    -> std::shared_ptr<const route> {
  const auto found = by_host_.find(std::string(host));
  if (found == by_host_.end()) {
    return nullptr;
  }
  for (const auto& item : found->second) {
    if (path.starts_with(item->prefix)) {
      return item;
    }
  }
  return nullptr;
}

auto route_table::FindService(const service_id& id) const -> const service* {
  const auto found = services_.find(id);
  return found == services_.end() ? nullptr : &found->second;
}

auto PickService(const route& from, std::string_view key) -> service_id {
  auto total = std::uint64_t{0};
  for (const auto& item : from.services) {
    total += item.weight;
  }
  if (total == 0) {
    return from.services.empty() ? service_id{} : from.services.front().service;
  }
  auto ticket = PlacementHash(key) % total;
  for (const auto& item : from.services) {
    if (ticket < item.weight) {
      return item.service;
    }
    ticket -= item.weight;
  }
  return from.services.back().service;
}

}  // namespace daisywind::dispatch
