#include "policy/retry_budget.h"

#include <algorithm>

#include "policy/units.h"

namespace daisywind::policy {
namespace {

constexpr auto kDepositPerAttempt = 0.1;
constexpr auto kMaxBalance = 100.0;
constexpr auto kMaxAttempts = 4U;
constexpr auto kFirstBackoff = seconds{0.05};

// Whether the request can be retried without the risk that a non-idempotent
// request runs twice.
auto IsSafe(const call_request& request, finish_kind result) -> bool {
  if (result == finish_kind::kCompleted || result == finish_kind::kCancelled) {
    return false;
  }
  return request.is_idempotent || result == finish_kind::kNotRun;
}

}  // namespace

auto retry_account::Deposit() -> void {
  balance_ = std::min(kMaxBalance, balance_ + kDepositPerAttempt);
}

auto retry_budget::OnFirstAttempt(const organisation_id& organisation) -> void {
  gateway_.Deposit();
  organisations_[organisation].Deposit();
}

auto retry_budget::Plan(const call_request& request,
                        finish_kind result,
                        random_source& random) -> std::optional<duration> {
  auto& organisation = organisations_[request.organisation];
  if (!IsSafe(request, result) || request.attempt >= kMaxAttempts ||
      !gateway_.CanWithdraw() || !organisation.CanWithdraw()) {
    return std::nullopt;
  }
  gateway_.Withdraw();
  organisation.Withdraw();
  const auto ceiling = kFirstBackoff * (1U << request.attempt);
  return ToDuration(ceiling * random.UniformDouble());
}

}  // namespace daisywind::policy
