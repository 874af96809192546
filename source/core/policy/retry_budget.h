// Retry budgets: which failed requests can be retried, how often, and when.
#ifndef DAISYWIND_POLICY_RETRY_BUDGET_H_
#define DAISYWIND_POLICY_RETRY_BUDGET_H_

#include <cstdint>
#include <map>
#include <optional>

#include "common/random.h"
#include "policy/types.h"

namespace daisywind::policy {

// Balance of a retry budget. Each first attempt adds a fraction of a retry,
// which limits retries to that fraction of the traffic.
class retry_account {
 public:
  // Records a first attempt.
  auto Deposit() -> void;

  [[nodiscard]] auto CanWithdraw() const -> bool { return balance_ >= 1.0; }

  auto Withdraw() -> void { balance_ -= 1.0; }

 private:
  double balance_ = 10.0;
};

// One account for the gateway and one per organisation. A retry is withdrawn
// from both.
class retry_budget {
 public:
  // Records a first attempt.
  auto OnFirstAttempt(const organisation_id& organisation) -> void;

  // Returns the back-off delay before the next attempt and withdraws the retry,
  // or returns nothing when the request must not be retried.
  auto Plan(const call_request& request,
            finish_kind result,
            random_source& random) -> std::optional<duration>;

 private:
  retry_account gateway_;
  std::map<organisation_id, retry_account> organisations_;
};

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_RETRY_BUDGET_H_
