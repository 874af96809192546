#include "policy/tenant_table.h"

#include <algorithm>

namespace daisywind::policy {
namespace {

constexpr auto kBurstSeconds = 2.0;
constexpr auto kMinShare = 0.001;

auto HasSameRates(const tenant_policy& a, const tenant_policy& b) -> bool {
  return a.tokens_per_second == b.tokens_per_second &&
         a.calls_per_second == b.calls_per_second;
}

auto SetShare(token_bucket& bucket, double rate, std::uint32_t gateways)
    -> void {
  const auto own = rate / gateways;
  bucket.SetRate(own, std::max(1.0, own * kBurstSeconds));
}

auto MakeBucket(double rate, std::uint32_t gateways) -> token_bucket {
  const auto own = rate / gateways;
  return {own, std::max(1.0, own * kBurstSeconds)};
}

}  // namespace

auto tenant_table::Set(const std::vector<tenant_policy>& tenants) -> void {
  auto next = std::map<tenant_id, entry>{};
  for (const auto& tenant : tenants) {
    auto item = entry{tenant, MakeBucket(tenant.tokens_per_second, gateways_),
                      MakeBucket(tenant.calls_per_second, gateways_)};
    const auto old = tenants_.find(tenant.id);
    if (old != tenants_.end() && HasSameRates(old->second.policy, tenant)) {
      item.tokens = old->second.tokens;
      item.calls = old->second.calls;
    }
    next.emplace(tenant.id, item);
  }
  tenants_ = std::move(next);
}

auto tenant_table::SetGateways(std::uint32_t gateways) -> void {
  gateways_ = std::max(1U, gateways);
  for (auto& [id, item] : tenants_) {
    SetShare(item.tokens, item.policy.tokens_per_second, gateways_);
    SetShare(item.calls, item.policy.calls_per_second, gateways_);
  }
}

auto tenant_table::Charge(const call_request& call, instant now)
    -> std::optional<duration> {
  const auto found = tenants_.find(call.tenant);
  if (found == tenants_.end()) {
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

auto tenant_table::RankOf(const call_request& call) const -> std::int32_t {
  const auto found = tenants_.find(call.tenant);
  if (found == tenants_.end()) {
    return 0;
  }
  const auto& ranks = found->second.policy.class_ranks;
  const auto rank = ranks.find(call.call_class);
  return rank == ranks.end() ? static_cast<std::int32_t>(ranks.size())
                             : rank->second;
}

auto tenant_table::ShareOf(const tenant_id& tenant) const -> double {
  const auto found = tenants_.find(tenant);
  return found == tenants_.end()
             ? 1.0
             : std::max(kMinShare, found->second.policy.share);
}

}  // namespace daisywind::policy
