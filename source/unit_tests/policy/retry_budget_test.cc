#include "policy/retry_budget.h"

#include <doctest/doctest.h>

namespace daisywind::policy {
namespace {

auto MakeRequest(bool is_idempotent) -> call_request {
  auto out = call_request{};
  out.organisation = organisation_id{"t"};
  out.is_idempotent = is_idempotent;
  return out;
}

}  // namespace

TEST_CASE("a request that may have run is retried only when idempotent") {
  auto budget = retry_budget{};
  auto random = random_source{1};
  const auto non_idempotent = MakeRequest(false);
  CHECK_FALSE(
      budget.Plan(non_idempotent, finish_kind::kFailed, random).has_value());
  CHECK_FALSE(
      budget.Plan(non_idempotent, finish_kind::kTimedOut, random).has_value());
  CHECK(budget.Plan(non_idempotent, finish_kind::kNotRun, random).has_value());
  const auto idempotent = MakeRequest(true);
  CHECK(budget.Plan(idempotent, finish_kind::kFailed, random).has_value());
  CHECK_FALSE(
      budget.Plan(idempotent, finish_kind::kCancelled, random).has_value());
}

TEST_CASE("retries are limited to a fraction of the first attempts") {
  auto budget = retry_budget{};
  auto random = random_source{1};
  const auto idempotent = MakeRequest(true);
  constexpr auto kFirstAttempts = 1000;
  auto retries = 0;
  for (auto i = 0; i < kFirstAttempts; ++i) {
    budget.OnFirstAttempt(idempotent.organisation);
    retries += budget.Plan(idempotent, finish_kind::kFailed, random) ? 1 : 0;
  }
  CHECK(retries <= kFirstAttempts / 10 + 10);
  CHECK(retries >= kFirstAttempts / 10);
}

TEST_CASE("the number of attempts per request is limited") {
  auto budget = retry_budget{};
  auto random = random_source{1};
  auto idempotent = MakeRequest(true);
  idempotent.attempt = 4;
  CHECK_FALSE(
      budget.Plan(idempotent, finish_kind::kNotRun, random).has_value());
}

}  // namespace daisywind::policy
