// The targets of calls (models and services), each with its queue, its cost
// estimates and the endpoints that this gateway uses for it.
#ifndef DAISYWIND_POLICY_TARGET_TABLE_H_
#define DAISYWIND_POLICY_TARGET_TABLE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "policy/call_queue.h"
#include "policy/cost_model.h"
#include "policy/endpoint_table.h"
#include "policy/types.h"

namespace daisywind::policy {

// A model with an optional adapter, or a service.
struct target_key {
  endpoint_kind kind = endpoint_kind::kEngine;
  std::string name;
  adapter_id adapter;

  auto operator<=>(const target_key&) const = default;
};

auto TargetOf(const call_request& call) -> target_key;

struct target_entry {
  // Endpoints used for the target, in ascending order. A bounded subset of all
  // that offer it.
  std::vector<endpoint_index> members;
  cost_model costs;
  call_queue queue;
  // When all waiting calls were last considered for dispatch.
  instant last_scan = instant{duration{-1s}};
};

class target_table {
 public:
  // The seed selects the subset of endpoints when more offer a target than a
  // gateway uses. Gateways with different seeds use different subsets.
  target_table(failure_domain_id failure_domain, std::uint64_t seed)
      : failure_domain_(std::move(failure_domain)), seed_(seed) {}

  // Recomputes the members of all targets.
  auto Rebuild(const endpoint_table& endpoints) -> void;

  // The target's row, which is added if missing.
  auto Find(const target_key& key, const endpoint_table& endpoints)
      -> target_entry&;

  // Sets the minimum number of endpoints per model or service.
  auto SetNeeds(const std::vector<target_need>& needs) -> void;

  // Whether an endpoint can be ejected: enough usable endpoints must remain for
  // each of its targets.
  [[nodiscard]] auto CanEject(endpoint_index index,
                              const endpoint_table& endpoints) const -> bool;

  // Updates `peer_slowdown` of all endpoints.
  auto UpdatePeerSlowdowns(endpoint_table& endpoints) const -> void;

  [[nodiscard]] auto rows() const -> const std::map<target_key, target_entry>& {
    return rows_;
  }
  auto rows() -> std::map<target_key, target_entry>& { return rows_; }

 private:
  auto AddRowsFor(const endpoint_info& info) -> void;
  [[nodiscard]] auto MembersOf(const target_key& key,
                               const endpoint_table& endpoints) const
      -> std::vector<endpoint_index>;

  failure_domain_id failure_domain_;
  std::uint64_t seed_;
  std::map<target_key, target_entry> rows_;
  std::map<std::string, std::uint32_t> needs_;
};

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_TARGET_TABLE_H_
