#include "policy/target_table.h"

#include <algorithm>

#include "common/digest.h"

namespace daisywind::policy {
namespace {

// Each gateway polls the load of every member, so their number determines the
// polling cost.
constexpr auto kMaxMembers = std::size_t{128};
constexpr auto kMaxEjectedFraction = 0.5;

auto Offers(const endpoint_info& info, const target_key& key) -> bool {
  if (info.kind != key.kind) {
    return false;
  }
  if (key.kind == endpoint_kind::kService) {
    return std::ranges::find(info.services, key.name) != info.services.end();
  }
  const auto has_adapter =
      key.adapter.empty() ||
      std::ranges::find(info.adapters, key.adapter) != info.adapters.end();
  return has_adapter && std::ranges::find(info.models, model_id{key.name}) !=
                            info.models.end();
}

// Sort key of an endpoint in the gateway's order of preference: nearer
// endpoints first, equally near ones by rendezvous hash.
struct preference {
  std::uint32_t distance = 0;
  std::uint64_t weight = 0;
  endpoint_index index = 0;

  auto operator<=>(const preference&) const = default;
};

auto UsableCount(const target_entry& target, const endpoint_table& endpoints)
    -> std::size_t {
  return static_cast<std::size_t>(std::ranges::count_if(
      target.members,
      [&endpoints](auto index) { return endpoints.IsUsable(index); }));
}

}  // namespace

auto TargetOf(const call_request& call) -> target_key {
  return {call.kind, call.target, call.adapter};
}

auto target_table::MembersOf(const target_key& key,
                             const endpoint_table& endpoints) const
    -> std::vector<endpoint_index> {
  auto order = std::vector<preference>{};
  for (auto index = endpoint_index{0}; index < endpoints.size(); ++index) {
    const auto& entry = endpoints.At(index);
    if (!entry.is_present || !Offers(entry.info, key)) {
      continue;
    }
    const auto is_near = entry.info.failure_domain == failure_domain_;
    const auto distance = is_near ? 0U : (entry.is_local ? 1U : 2U);
    order.push_back(
        {distance, PlacementHash(entry.info.id.value, seed_), index});
  }
  std::ranges::sort(order);
  order.resize(std::min(order.size(), kMaxMembers));
  auto members = std::vector<endpoint_index>{};
  for (const auto& item : order) {
    members.push_back(item.index);
  }
  std::ranges::sort(members);
  return members;
}

auto target_table::AddRowsFor(const endpoint_info& info) -> void {
  for (const auto& service : info.services) {
    rows_.try_emplace(target_key{endpoint_kind::kService, service, {}});
  }
  for (const auto& model : info.models) {
    rows_.try_emplace(target_key{endpoint_kind::kEngine, model.value, {}});
    for (const auto& adapter : info.adapters) {
      rows_.try_emplace(
          target_key{endpoint_kind::kEngine, model.value, adapter});
    }
  }
}

auto target_table::Rebuild(const endpoint_table& endpoints) -> void {
  for (auto index = endpoint_index{0}; index < endpoints.size(); ++index) {
    AddRowsFor(endpoints.At(index).info);
  }
  for (auto& [key, target] : rows_) {
    target.members = MembersOf(key, endpoints);
  }
}

auto target_table::Find(const target_key& key, const endpoint_table& endpoints)
    -> target_entry& {
  const auto [row, is_new] = rows_.try_emplace(key);
  if (is_new) {
    row->second.members = MembersOf(key, endpoints);
  }
  return row->second;
}

auto target_table::SetNeeds(const std::vector<target_need>& needs) -> void {
  needs_.clear();
  for (const auto& need : needs) {
    needs_[need.target] = need.endpoints;
  }
}

auto target_table::CanEject(endpoint_index index,
                            const endpoint_table& endpoints) const -> bool {
  return std::ranges::all_of(rows_, [&](const auto& row) {
    const auto& [key, target] = row;
    if (!std::ranges::binary_search(target.members, index)) {
      return true;
    }
    const auto usable = UsableCount(target, endpoints);
    const auto need = needs_.contains(key.name) ? needs_.at(key.name) : 0U;
    const auto member_count = static_cast<double>(target.members.size());
    return usable > need && static_cast<double>(usable) - 1.0 >=
                                member_count * (1.0 - kMaxEjectedFraction);
  });
}

auto target_table::UpdatePeerSlowdowns(endpoint_table& endpoints) const
    -> void {
  for (const auto& [key, target] : rows_) {
    auto slowdowns = std::vector<double>{};
    for (const auto index : target.members) {
      if (endpoints.IsUsable(index)) {
        slowdowns.push_back(endpoints.At(index).health.slowdown());
      }
    }
    if (slowdowns.empty()) {
      continue;
    }
    const auto middle =
        slowdowns.begin() + static_cast<std::ptrdiff_t>(slowdowns.size() / 2);
    std::ranges::nth_element(slowdowns, middle);
    for (const auto index : target.members) {
      endpoints.At(index).peer_slowdown = *middle;
    }
  }
}

}  // namespace daisywind::policy
