// Shares, class ranks and rate limits of the organisations.
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
  // Rate limits are divided evenly among the gateways.
  explicit organisation_table(std::uint32_t gateways) : gateways_(gateways) {}

  // Replaces the organisations. Organisations whose rate limits are unchanged
  // keep their token buckets.
  auto Set(const std::vector<organisation_policy>& organisations) -> void;

  // Divides the rate limits among a new number of gateways.
  auto SetGateways(std::uint32_t gateways) -> void;

  // Charges a call to its organisation's rate limits. If it exceeds them,
  // charges nothing and returns the time after which it will fit.
  auto Charge(const call_request& call, instant now) -> std::optional<duration>;

  // The rank of a call's class; lower ranks go first. Unknown classes rank
  // after all known ones.
  [[nodiscard]] auto RankOf(const call_request& call) const -> std::int32_t;

  // The organisation's share of the fleet, relative to the shares of other
  // organisations. Always greater than zero.
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
