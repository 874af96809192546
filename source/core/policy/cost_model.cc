#include "policy/cost_model.h"

namespace daisywind::policy {
namespace {

constexpr auto kMeanServiceGain = 0.02;
constexpr auto kStepDown = 0.95;
constexpr auto kStepUp = 1.006;
constexpr auto kMinPrefillTokens = 128U;
constexpr auto kMinOutputTokens = 4U;

// Moves an estimate towards a low quantile of the observations. Calls that had
// to wait at the endpoint only make observations longer, so a low quantile
// approximates the unloaded time.
auto TrackLowQuantile(seconds& estimate, seconds observed) -> void {
  estimate *= observed < estimate ? kStepDown : kStepUp;
}

}  // namespace

auto cost_model::AddSample(const call_timing& timing) -> void {
  const auto& usage = timing.usage;
  mean_service_time_ += kMeanServiceGain * (timing.total - mean_service_time_);
  const auto prefilled_tokens = usage.prompt_tokens - usage.cached_tokens;
  if (usage.prompt_tokens >= usage.cached_tokens + kMinPrefillTokens) {
    TrackLowQuantile(prefill_per_token_,
                     timing.until_first_token / prefilled_tokens);
  }
  if (usage.output_tokens >= kMinOutputTokens) {
    const auto decode = timing.total - timing.until_first_token;
    TrackLowQuantile(decode_per_token_, decode / usage.output_tokens);
  }
}

auto cost_model::PrefillTime(double tokens) const -> seconds {
  return prefill_per_token_ * tokens;
}

auto cost_model::UnloadedTime(const token_usage& usage) const -> seconds {
  const auto prefilled_tokens = usage.prompt_tokens - usage.cached_tokens;
  return PrefillTime(prefilled_tokens) +
         decode_per_token_ * usage.output_tokens;
}

}  // namespace daisywind::policy
