#include "policy/organisation_table.h"

#include <algorithm>

namespace daisywind::policy {
namespace {

constexpr auto kBurstSeconds = 2.0;
constexpr auto kMinShare = 0.001;

auto HasSameRates(const organisation_policy& a, const organisation_policy& b)
    -> bool {
  return a.tokens_per_second == b.tokens_per_second &&
         a.calls_per_second == b.calls_per_second;
}

auto SetBucketRate(token_bucket& bucket, double rate, std::uint32_t gateways)
    -> void {
  const auto gateway_rate = rate / gateways;
  bucket.SetRate(gateway_rate, std::max(1.0, gateway_rate * kBurstSeconds));
}

auto MakeBucket(double rate, std::uint32_t gateways) -> token_bucket {
  const auto gateway_rate = rate / gateways;
  return {gateway_rate, std::max(1.0, gateway_rate * kBurstSeconds)};
}

}  // namespace

auto organisation_table::Set(
    const std::vector<organisation_policy>& organisations) -> void {
  auto next = std::map<organisation_id, entry>{};
  for (const auto& organisation : organisations) {
    auto item = entry{organisation,
                      MakeBucket(organisation.tokens_per_second, gateways_),
                      MakeBucket(organisation.calls_per_second, gateways_)};
    const auto old = organisations_.find(organisation.id);
    if (old != organisations_.end() &&
        HasSameRates(old->second.policy, organisation)) {
      item.tokens = old->second.tokens;
      item.calls = old->second.calls;
    }
    next.emplace(organisation.id, item);
  }
  organisations_ = std::move(next);
}

auto organisation_table::SetGateways(std::uint32_t gateways) -> void {
  gateways_ = std::max(1U, gateways);
  for (auto& [id, item] : organisations_) {
    SetBucketRate(item.tokens, item.policy.tokens_per_second, gateways_);
    SetBucketRate(item.calls, item.policy.calls_per_second, gateways_);
  }
}

auto organisation_table::Charge(const call_request& call, instant now)
    -> std::optional<duration> {
  const auto found = organisations_.find(call.organisation);
  if (found == organisations_.end()) {
    return std::nullopt;
  }
  auto& [policy, tokens, calls] = found->second;
  const auto amount = static_cast<double>(call.prompt_tokens) + call.max_tokens;
  const auto fits_tokens = tokens.CanTake(amount, now);
  const auto fits_calls = calls.CanTake(1.0, now);
  if (!fits_tokens || !fits_calls) {
    return std::max(tokens.WaitFor(amount), calls.WaitFor(1.0));
  }
  tokens.Take(amount);
  calls.Take(1.0);
  return std::nullopt;
}

auto organisation_table::RankOf(const call_request& call) const
    -> std::int32_t {
  const auto found = organisations_.find(call.organisation);
  if (found == organisations_.end()) {
    return 0;
  }
  const auto& ranks = found->second.policy.class_ranks;
  const auto rank = ranks.find(call.call_class);
  return rank == ranks.end() ? static_cast<std::int32_t>(ranks.size())
                             : rank->second;
}

auto organisation_table::ShareOf(const organisation_id& organisation) const
    -> double {
  const auto found = organisations_.find(organisation);
  return found == organisations_.end()
             ? 1.0
             : std::max(kMinShare, found->second.policy.share);
}

}  // namespace daisywind::policy
