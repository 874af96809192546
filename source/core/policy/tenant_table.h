// Shares, class order and rates of the tenants.
#ifndef DAISYWIND_POLICY_TENANT_TABLE_H_
#define DAISYWIND_POLICY_TENANT_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "policy/token_bucket.h"
#include "policy/types.h"

namespace daisywind::policy {

class tenant_table {
 public:
  // Rates are divided evenly among the gateways.
  explicit tenant_table(std::uint32_t gateways) : gateways_(gateways) {}

  // Replaces the tenants. Those whose rates are unchanged keep their buckets.
  auto Set(const std::vector<tenant_policy>& tenants) -> void;

  // Divides the rates anew among the gateways.
  auto SetGateways(std::uint32_t gateways) -> void;

  // Charges a call to its tenant's rates, or returns the time after which it
  // fits.
  auto Charge(const call_request& call, instant now) -> std::optional<duration>;

  // The rank of a call's class. Unknown classes go after all known ones.
  [[nodiscard]] auto RankOf(const call_request& call) const -> std::int32_t;

  // The tenant's part, relative to other tenants'. Never zero.
  [[nodiscard]] auto ShareOf(const tenant_id& tenant) const -> double;

 private:
  struct entry {
    tenant_policy policy;
    token_bucket tokens;
    token_bucket calls;
  };

  std::uint32_t gateways_;
  std::map<tenant_id, entry> tenants_;
};

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_TENANT_TABLE_H_
