// The models and services that calls name, each with the endpoints that this
// gateway may use for it, its costs and its queue.
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

// A model with an adapter, or a service.
struct target_key {
  endpoint_kind kind = endpoint_kind::kEngine;
  std::string name;
  adapter_id adapter;

  auto operator<=>(const target_key&) const = default;
};

// The target of a call.
auto TargetOf(const call_request& call) -> target_key;

struct target_entry {
  // Ascending; a bounded subset of all endpoints that offer the target.
  std::vector<endpoint_index> members;
  cost_model costs;
  call_queue queue;
  // When all waiting calls were last considered.
  instant last_scan = instant{duration{-1s}};
};

class target_table {
 public:
  // Subsets of gateways with different seeds are different.
  target_table(failure_domain_id failure_domain, std::uint64_t seed)
      : failure_domain_(std::move(failure_domain)), seed_(seed) {}

  // Finds the members of all targets anew.
  auto Rebuild(const endpoint_table& endpoints) -> void;

  // The target's row, made when it is new.
  auto Find(const target_key& key, const endpoint_table& endpoints)
      -> target_entry&;

  // Sets the least number of endpoints per model or service.
  auto SetNeeds(const std::vector<target_need>& needs) -> void;

  // Whether an endpoint can be ejected: for each of its targets enough usable
  // endpoints remain.
  [[nodiscard]] auto MayEject(endpoint_index index,
                              const endpoint_table& endpoints) const -> bool;

  // Sets each endpoint's median slowdown of its peers.
  auto UpdatePeers(endpoint_table& endpoints) const -> void;

  [[nodiscard]] auto rows() const -> const std::map<target_key, target_entry>& {
    return rows_;
  }
  auto rows() -> std::map<target_key, target_entry>& { return rows_; }

 private:
  auto AddRowsOf(const endpoint_info& info) -> void;
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
