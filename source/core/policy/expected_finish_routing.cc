#include "policy/expected_finish_routing.h"

#include <algorithm>

namespace daisywind::policy {
namespace {

constexpr auto kMaxHolders = std::size_t{8};
constexpr auto kRandomChoices = std::size_t{4};
constexpr auto kAnswerBytesPerToken = 4.0;

// The first eligible endpoint, starting at a random candidate.
auto FirstEligible(const route_context& context)
    -> std::optional<endpoint_index> {
  const auto count = context.candidates.size();
  const auto start = context.random.UniformBelow(count);
  for (auto step = std::size_t{0}; step < count; ++step) {
    const auto index = context.candidates[(start + step) % count];
    if (IsEligible(context, index)) {
      return index;
    }
  }
  return std::nullopt;
}

}  // namespace

auto ExpectedFinish(const route_context& context,
                    endpoint_index index,
                    double cached_tokens) -> seconds {
  const auto& entry = context.endpoints.At(index);
  const auto capacity = static_cast<double>(entry.info.capacity);
  const auto load = context.endpoints.EstimatedLoad(index);
  const auto ahead = std::max(0.0, load + 1.0 - capacity);
  const auto wait = context.costs.MeanServiceTime() * (ahead / capacity);
  const auto uncached =
      std::max(0.0, context.call.prompt_tokens - cached_tokens);
  const auto prefill = context.costs.PrefillTime(uncached);
  // While an engine computes a prompt, the output of all its running calls
  // stalls.
  const auto affected_calls = 1.0 + std::min(load, capacity);
  auto total = (wait + prefill * affected_calls) * entry.health.slowdown();
  if (!entry.is_local) {
    const auto bytes = context.call.body_bytes +
                       kAnswerBytesPerToken * context.call.max_tokens;
    total += context.link.TransferTime(bytes, context.now);
  }
  return total;
}

auto expected_finish_routing::CollectShortlist(const route_context& context)
    -> void {
  shortlist_ = context.cache.Holders(context.call.prefix, kMaxHolders);
  std::erase_if(shortlist_, [&context](const auto& item) {
    return !std::ranges::binary_search(context.candidates, item.endpoint);
  });
  const auto holders = std::ssize(shortlist_);
  for (auto i = std::size_t{0}; i < kRandomChoices; ++i) {
    const auto pick = context.random.UniformBelow(context.candidates.size());
    const auto index = context.candidates[pick];
    const auto is_known = std::any_of(
        shortlist_.begin(), shortlist_.begin() + holders,
        [index](const auto& item) { return item.endpoint == index; });
    if (!is_known) {
      shortlist_.push_back({index, 0.0});
    }
  }
}

auto expected_finish_routing::Choose(const route_context& context)
    -> std::optional<endpoint_index> {
  if (context.candidates.empty()) {
    return std::nullopt;
  }
  CollectShortlist(context);
  auto best = std::optional<endpoint_index>{};
  auto best_finish = seconds::max();
  for (const auto& option : shortlist_) {
    if (!IsAllowed(context, option.endpoint)) {
      continue;
    }
    auto finish = ExpectedFinish(context, option.endpoint, option.tokens);
    const auto is_full = !IsEligible(context, option.endpoint);
    if (is_full && option.tokens == 0.0) {
      continue;
    }
    if (is_full) {
      // The longer a call has already waited for its cached prefix, the less
      // reliable is the estimate of its remaining wait.
      finish += context.waited;
    }
    if (finish < best_finish) {
      best = option.endpoint;
      best_finish = finish;
    }
  }
  if (!best) {
    return FirstEligible(context);
  }
  return IsEligible(context, *best) ? best : std::nullopt;
}

}  // namespace daisywind::policy
