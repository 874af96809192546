// Rate limiter.
#ifndef DAISYWIND_POLICY_TOKEN_BUCKET_H_
#define DAISYWIND_POLICY_TOKEN_BUCKET_H_

#include <algorithm>

#include "policy/units.h"

namespace daisywind::policy {

// Tokens that refill at a constant rate up to a burst. A rate of zero means no
// limit.
class token_bucket {
 public:
  token_bucket() = default;
  token_bucket(double rate, double burst)
      : rate_(rate), burst_(burst), level_(burst) {}

  // Changes rate and burst; what is over the new burst is lost.
  auto SetRate(double rate, double burst) -> void {
    rate_ = rate;
    burst_ = burst;
    level_ = std::min(level_, burst);
  }

  // Whether `amount` could be taken. An amount over the burst may be taken from
  // a full bucket, which then goes into debt.
  auto CanTake(double amount, instant now) -> bool {
    Refill(now);
    return rate_ <= 0.0 || level_ >= std::min(amount, burst_);
  }

  // Takes without a check.
  auto Take(double amount) -> void { level_ -= amount; }

  // Time until `amount` can be taken.
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
