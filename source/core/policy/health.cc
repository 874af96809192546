#include "policy/health.h"

#include <algorithm>

namespace daisywind::policy {
namespace {

constexpr auto kSmoothingGain = 0.1;
constexpr auto kMinSamples = 10U;
constexpr auto kMaxConsecutiveFailures = 3U;
constexpr auto kMaxFailureRate = 0.5;
constexpr auto kMaxRelativeSlowdown = 3.0;
constexpr auto kSuccessesToRestore = 3U;
constexpr auto kFirstEjection = 2s;
constexpr auto kMaxDoublings = 5U;

}  // namespace

auto endpoint_health::OnSuccess(double slowdown) -> void {
  ++samples_;
  consecutive_failures_ = 0;
  failure_rate_ -= kSmoothingGain * failure_rate_;
  slowdown_ += kSmoothingGain * (slowdown - slowdown_);
  if (state_ != health_state::kProbation) {
    return;
  }
  ++probation_successes_;
  if (probation_successes_ >= kSuccessesToRestore) {
    state_ = health_state::kHealthy;
    consecutive_ejections_ = 0;
  }
}

auto endpoint_health::OnFailure() -> void {
  ++samples_;
  ++consecutive_failures_;
  failure_rate_ += kSmoothingGain * (1.0 - failure_rate_);
}

auto endpoint_health::IsOutlier(double peer_slowdown) const -> bool {
  if (state_ == health_state::kEjected) {
    return false;
  }
  if (state_ == health_state::kProbation && consecutive_failures_ > 0) {
    return true;
  }
  if (consecutive_failures_ >= kMaxConsecutiveFailures) {
    return true;
  }
  if (samples_ < kMinSamples) {
    return false;
  }
  return failure_rate_ > kMaxFailureRate ||
         slowdown_ > kMaxRelativeSlowdown * peer_slowdown;
}

auto endpoint_health::Eject(instant now) -> void {
  const auto doublings = std::min(consecutive_ejections_, kMaxDoublings);
  state_ = health_state::kEjected;
  ejected_until_ = now + kFirstEjection * (1U << doublings);
  ++consecutive_ejections_;
}

auto endpoint_health::Advance(instant now) -> void {
  if (state_ != health_state::kEjected || now < ejected_until_) {
    return;
  }
  state_ = health_state::kProbation;
  slowdown_ = 1.0;
  failure_rate_ = 0.0;
  consecutive_failures_ = 0;
  samples_ = 0;
  probation_successes_ = 0;
}

}  // namespace daisywind::policy
