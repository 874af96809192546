// The wanted state of models, adapters and endpoints, and the state that an
// engine reports.
#ifndef DAISYWIND_MIGRATION_WANTED_STATE_H_
#define DAISYWIND_MIGRATION_WANTED_STATE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "common/ids.h"
#include "common/time.h"

namespace daisywind::migration {

enum class endpoint_kind : std::uint8_t { kEngine, kService };

// The role of an endpoint. A draining endpoint accepts no new work; an empty
// one also has nothing loaded and nothing running.
enum class endpoint_role : std::uint8_t { kServing, kDraining, kEmpty };

// One endpoint of the configuration document.
struct wanted_endpoint {
  endpoint_id id;
  std::string address;
  failure_domain_id failure_domain;
  endpoint_kind kind = endpoint_kind::kEngine;
  // If set, an order counts as in force only once the endpoint's report shows
  // the current fencing number.
  bool checks_fencing = false;
  endpoint_role role = endpoint_role::kServing;
  std::set<model_id> models;
  std::set<adapter_id> adapters;
  std::set<std::string> services;

  auto operator<=>(const wanted_endpoint&) const = default;
};

// The parts of one configuration version that a migration uses.
struct wanted_state {
  // Number of the configuration version.
  version_number version = 0;
  std::map<model_id, std::string> model_versions;
  std::map<adapter_id, std::string> adapter_versions;
  std::vector<wanted_endpoint> endpoints;
  // Minimum number of serving endpoints of a model or service, by its name.
  std::map<std::string, std::uint32_t> need;
  // Time allowed for the migration, counted from the version's acceptance; a
  // span, not a point in time.
  duration deadline{};

  auto operator<=>(const wanted_state&) const = default;
};

// The complete state that an order requests of an engine.
struct engine_order {
  // The version of each model and adapter.
  std::map<model_id, std::string> models;
  std::map<adapter_id, std::string> adapters;
  endpoint_role role = endpoint_role::kServing;

  auto operator<=>(const engine_order&) const = default;
};

// The reported state of an endpoint: that of an engine as returned by GET
// /v1/state. For a service endpoint only `running` is set, to the number of its
// running and queued requests.
struct engine_report {
  std::map<model_id, std::string> models;
  std::map<adapter_id, std::string> adapters;
  endpoint_role role = endpoint_role::kServing;
  // Version and fencing number of the last order that the engine accepted.
  version_number version = 0;
  std::uint64_t fence = 0;
  std::set<std::string> loading;
  std::uint64_t running = 0;
  std::uint64_t sessions = 0;

  auto operator<=>(const engine_report&) const = default;
};

// The names under which `need` counts an endpoint: its models and services.
auto ServedNames(const wanted_endpoint& endpoint) -> std::set<std::string>;

// The order for an endpoint in the given role: all wanted models and adapters
// loaded, or nothing when the role is empty.
auto OrderFor(const wanted_state& wanted,
              const wanted_endpoint& endpoint,
              endpoint_role role) -> engine_order;

// Whether the engine has exactly the models and adapters of the order, in their
// versions, and no load in progress.
auto HasLoaded(const engine_report& report, const engine_order& order) -> bool;

// Whether nothing is loaded, loading or running and no session is held.
auto IsEmpty(const engine_report& report) -> bool;

// The name of a role, as in the configuration document.
auto ToString(endpoint_role role) -> std::string_view;

}  // namespace daisywind::migration

#endif  // DAISYWIND_MIGRATION_WANTED_STATE_H_
