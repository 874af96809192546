#include "policy/retry_budget.h"

#include <algorithm>

#include "policy/units.h"

namespace daisywind::policy {
namespace {

constexpr auto kEarnedPerAttempt = 0.1;
constexpr auto kMaxBalance = 100.0;
constexpr auto kMaxAttempts = 4U;
constexpr auto kFirstBackoff = seconds{0.05};

// Whether another attempt can't run the request twice.
auto IsSafe(const call_request& request, finish_kind how) -> bool {
  if (how == finish_kind::kCompleted || how == finish_kind::kCancelled) {
    return false;
  }
  return request.is_idempotent || how == finish_kind::kNotRun;
}

}  // namespace

auto retry_account::Earn() -> void {
  balance_ = std::min(kMaxBalance, balance_ + kEarnedPerAttempt);
}

auto retry_budget::OnFirstAttempt(const organisation_id& organisation) -> void {
  gateway_.Earn();
  organisations_[organisation].Earn();
}

auto retry_budget::Plan(const call_request& request,
                        finish_kind how,
                        random_source& random) -> std::optional<duration> {
  auto& organisation = organisations_[request.organisation];
  if (!IsSafe(request, how) || request.attempt >= kMaxAttempts ||
      !gateway_.CanSpend() || !organisation.CanSpend()) {
    return std::nullopt;
  }
  gateway_.Spend();
  organisation.Spend();
  const auto ceiling = kFirstBackoff * (1U << request.attempt);
  return ToDuration(ceiling * random.UniformDouble());
}

}  // namespace daisywind::policy
