#include "gateway/conversions.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <string>
#include <utility>

namespace daisywind::gateway {
namespace {

auto ToPolicyRole(const configuration::endpoint& endpoint,
                  const migration::routing_state* routing)
    -> policy::endpoint_role {
  if (routing != nullptr && routing->accepts_new_work) {
    return policy::endpoint_role::kServing;
  }
  return endpoint.role == configuration::endpoint_role::kEmpty
             ? policy::endpoint_role::kEmpty
             : policy::endpoint_role::kDraining;
}

auto RegionOf(const configuration::document& document,
              const failure_domain_id& domain) -> region_id {
  const auto found = document.failure_domains.find(domain);
  return found == document.failure_domains.end() ? region_id{}
                                                 : found->second.region;
}

auto ToMigrationRole(configuration::endpoint_role role)
    -> migration::endpoint_role {
  switch (role) {
    case configuration::endpoint_role::kServing:
      return migration::endpoint_role::kServing;
    case configuration::endpoint_role::kDraining:
      return migration::endpoint_role::kDraining;
    case configuration::endpoint_role::kEmpty:
      return migration::endpoint_role::kEmpty;
  }
  return migration::endpoint_role::kServing;
}

auto ToWantedEndpoint(const endpoint_id& id,
                      const configuration::endpoint& from)
    -> migration::wanted_endpoint {
  auto to = migration::wanted_endpoint{};
  to.id = id;
  to.address = from.address;
  to.failure_domain = from.domain;
  to.kind = from.kind == configuration::endpoint_kind::kEngine
                ? migration::endpoint_kind::kEngine
                : migration::endpoint_kind::kService;
  to.checks_fencing = from.checks_fencing;
  to.role = ToMigrationRole(from.role);
  to.models = from.models;
  to.adapters = from.adapters;
  for (const auto& name : from.services) {
    to.services.insert(name.value);
  }
  return to;
}

}  // namespace

auto ToPolicyEndpoints(const configuration::document& document,
                       const routing_table& routing)
    -> std::vector<policy::endpoint_info> {
  auto endpoints = std::vector<policy::endpoint_info>{};
  for (const auto& [id, from] : document.endpoints) {
    const auto found = routing.find(id);
    auto to = policy::endpoint_info{};
    to.id = id;
    to.failure_domain = from.domain;
    to.region = RegionOf(document, from.domain);
    to.kind = from.kind == configuration::endpoint_kind::kEngine
                  ? policy::endpoint_kind::kEngine
                  : policy::endpoint_kind::kService;
    to.models.assign(from.models.begin(), from.models.end());
    to.adapters.assign(from.adapters.begin(), from.adapters.end());
    for (const auto& name : from.services) {
      to.services.push_back(name.value);
    }
    to.capacity = static_cast<std::uint32_t>(from.capacity);
    to.role =
        ToPolicyRole(from, found == routing.end() ? nullptr : &found->second);
    endpoints.push_back(std::move(to));
  }
  return endpoints;
}

auto HasRequiredEndpoints(const configuration::document& document,
                          const routing_table& routing) -> bool {
  auto open = std::set<std::string>{};
  for (const auto& [id, endpoint] : document.endpoints) {
    const auto found = routing.find(id);
    if (found != routing.end() && found->second.accepts_new_work) {
      open.merge(migration::ServedNames(ToWantedEndpoint(id, endpoint)));
    }
  }
  return std::all_of(document.need.begin(), document.need.end(),
                     [&](const auto& item) {
                       return item.second == 0 || open.contains(item.first);
                     });
}

auto ToPolicyOrganisations(const configuration::document& document)
    -> std::vector<policy::organisation_policy> {
  auto organisations = std::vector<policy::organisation_policy>{};
  for (const auto& [id, from] : document.organisations) {
    auto to = policy::organisation_policy{};
    to.id = id;
    to.share = from.share;
    for (const auto& [name, klass] : from.classes) {
      to.class_ranks[name] = static_cast<std::int32_t>(klass.rank);
    }
    if (from.limits) {
      to.tokens_per_second = from.limits->tokens_per_second;
      to.calls_per_second = from.limits->calls_per_second;
    }
    organisations.push_back(std::move(to));
  }
  return organisations;
}

auto ToPolicyNeeds(const configuration::document& document)
    -> std::vector<policy::target_need> {
  auto needs = std::vector<policy::target_need>{};
  for (const auto& [name, count] : document.need) {
    needs.push_back({name, static_cast<std::uint32_t>(count)});
  }
  return needs;
}

auto ToWantedState(version_number number,
                   const configuration::document& document)
    -> migration::wanted_state {
  auto wanted = migration::wanted_state{};
  wanted.version = number;
  for (const auto& [id, model] : document.models) {
    wanted.model_versions[id] = model.version;
  }
  for (const auto& [id, adapter] : document.adapters) {
    wanted.adapter_versions[id] = adapter.version;
  }
  for (const auto& [id, endpoint] : document.endpoints) {
    wanted.endpoints.push_back(ToWantedEndpoint(id, endpoint));
  }
  for (const auto& [name, count] : document.need) {
    wanted.need[name] = static_cast<std::uint32_t>(count);
  }
  wanted.deadline = std::chrono::seconds(document.migration.deadline_seconds);
  return wanted;
}

auto ToProgramMembers(const membership::member_list& members)
    -> std::vector<program::member> {
  auto list = std::vector<program::member>{};
  for (const auto& from : members) {
    list.push_back({from.ref, from.failure_domain, from.region});
  }
  return list;
}

}  // namespace daisywind::gateway
