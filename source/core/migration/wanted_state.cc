#include "migration/wanted_state.h"

#include <array>
#include <cstddef>

namespace daisywind::migration {

auto ServedNames(const wanted_endpoint& endpoint) -> std::set<std::string> {
  auto names = endpoint.services;
  for (const auto& model : endpoint.models) {
    names.insert(model.value);
  }
  return names;
}

auto OrderFor(const wanted_state& wanted,
              const wanted_endpoint& endpoint,
              endpoint_role role) -> engine_order {
  auto order = engine_order{};
  order.role = role;
  if (role == endpoint_role::kEmpty) {
    return order;
  }
  for (const auto& model : endpoint.models) {
    const auto version = wanted.model_versions.find(model);
    if (version != wanted.model_versions.end()) {
      order.models.emplace(model, version->second);
    }
  }
  for (const auto& adapter : endpoint.adapters) {
    const auto version = wanted.adapter_versions.find(adapter);
    if (version != wanted.adapter_versions.end()) {
      order.adapters.emplace(adapter, version->second);
    }
  }
  return order;
}

auto HasLoaded(const engine_report& report, const engine_order& order) -> bool {
  return report.models == order.models && report.adapters == order.adapters &&
         report.loading.empty();
}

auto IsEmpty(const engine_report& report) -> bool {
  return report.models.empty() && report.adapters.empty() &&
         report.loading.empty() && report.running == 0 && report.sessions == 0;
}

auto ToString(endpoint_role role) -> std::string_view {
  constexpr auto kNames =
      std::array<std::string_view, 3>{"serving", "draining", "empty"};
  return kNames.at(static_cast<std::size_t>(role));
}

}  // namespace daisywind::migration
