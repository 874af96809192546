// Shares, class order and rates of the organisations.
#ifndef DAISYWIND_POLICY_ORGANISATION_TABLE_H_
#define DAISYWIND_POLICY_ORGANISATION_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "policy/token_bucket.h"
#include "policy/types.h"

namespace daisywind::policy {

class organisation_table {
 public:
  // Rates are divided evenly among the gateways.
  explicit organisation_table(std::uint32_t gateways) : gateways_(gateways) {}

  // Replaces the organisations. Those whose rates are unchanged keep their
  // buckets.
  auto Set(const std::vector<organisation_policy>& organisations) -> void;

  // Divides the rates anew among the gateways.
  auto SetGateways(std::uint32_t gateways) -> void;

  // Charges a call to its organisation's rates, or returns the time after which
  // it fits.
  auto Charge(const call_request& call, instant now) -> std::optional<duration>;

  // The rank of a call's class. Unknown classes go after all known ones.
  [[nodiscard]] auto RankOf(const call_request& call) const -> std::int32_t;

  // The organisation's part, relative to other organisations'. Never zero.
  [[nodiscard]] auto ShareOf(const organisation_id& organisation) const
      -> double;

 private:
  struct entry {
    organisation_policy policy;
    token_bucket tokens;
    token_bucket calls;
  };

  std::uint32_t gateways_;
  std::map<organisation_id, entry> organisations_;
};

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_ORGANISATION_TABLE_H_
