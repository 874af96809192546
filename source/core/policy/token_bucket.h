// Token bucket for rate limits.
#ifndef DAISYWIND_POLICY_TOKEN_BUCKET_H_
#define DAISYWIND_POLICY_TOKEN_BUCKET_H_

#include <algorithm>

#include "policy/units.h"

namespace daisywind::policy {

// A token bucket that refills at `rate` tokens per second up to `burst`. A rate
// of zero means no limit.
class token_bucket {
 public:
  token_bucket() = default;
  token_bucket(double rate, double burst)
      : rate_(rate), burst_(burst), level_(burst) {}

  // Changes rate and burst. Tokens above the new burst are discarded.
  auto SetRate(double rate, double burst) -> void {
    rate_ = rate;
    burst_ = burst;
    level_ = std::min(level_, burst);
  }

  // Whether `amount` can be taken. An amount over the burst can be taken from a
  // full bucket, whose level then becomes negative.
  auto CanTake(double amount, instant now) -> bool {
    Refill(now);
    return rate_ <= 0.0 || level_ >= std::min(amount, burst_);
  }

  // Takes tokens without checking the level.
  auto Take(double amount) -> void { level_ -= amount; }

  // Time until `amount` can be taken, from the last refill on.
  [[nodiscard]] auto WaitFor(double amount) const -> duration {
    const auto missing = std::min(amount, burst_) - level_;
    if (rate_ <= 0.0 || missing <= 0.0) {
      return duration{0};
    }
    return ToDuration(seconds{missing / rate_});
  }

 private:
  auto Refill(instant now) -> void {
    const auto elapsed = seconds{now - last_};
    last_ = now;
    level_ = std::min(burst_, level_ + rate_ * elapsed.count());
  }

  double rate_ = 0.0;
  double burst_ = 0.0;
  double level_ = 0.0;
  instant last_;
};

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_TOKEN_BUCKET_H_
