// Which failed requests may be tried again, how many, and when.
#ifndef DAISYWIND_POLICY_RETRY_BUDGET_H_
#define DAISYWIND_POLICY_RETRY_BUDGET_H_

#include <cstdint>
#include <map>
#include <optional>

#include "common/random.h"
#include "policy/types.h"

namespace daisywind::policy {

// Retries that first attempts have earned.
class retry_account {
 public:
  // Records a first attempt.
  auto Earn() -> void;

  // Whether a retry can be paid for.
  [[nodiscard]] auto CanSpend() const -> bool { return balance_ >= 1.0; }

  // Pays for a retry.
  auto Spend() -> void { balance_ -= 1.0; }

 private:
  double balance_ = 10.0;
};

// One account for the gateway and one for each organisation. A retry is paid
// from both.
class retry_budget {
 public:
  // Records a first attempt.
  auto OnFirstAttempt(const organisation_id& organisation) -> void;

  // The delay before the next attempt, or nothing when there must be none.
  auto Plan(const call_request& request, finish_kind how, random_source& random)
      -> std::optional<duration>;

 private:
  retry_account gateway_;
  std::map<organisation_id, retry_account> organisations_;
};

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_RETRY_BUDGET_H_
