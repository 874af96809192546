// Cost model of the network link between regions.
#ifndef DAISYWIND_POLICY_LINK_COST_MODEL_H_
#define DAISYWIND_POLICY_LINK_COST_MODEL_H_

#include <algorithm>

#include "policy/units.h"

namespace daisywind::policy {

// Models this gateway's share of the link as a queue with a constant rate.
// Calls are charged when they are sent.
class link_cost_model {
 public:
  link_cost_model(double bytes_per_second, duration delay)
      : bytes_per_second_(bytes_per_second), delay_(delay) {}

  auto SetRate(double bytes_per_second) -> void {
    bytes_per_second_ = bytes_per_second;
  }

  // Expected time to transfer `bytes`: the delay there and back, the backlog,
  // and the transmission itself.
  [[nodiscard]] auto TransferTime(double bytes, instant now) const -> seconds {
    const auto backlog = std::max(duration{0}, busy_until_ - now);
    return seconds{2 * delay_ + backlog} + seconds{bytes / bytes_per_second_};
  }

  // Adds a call's bytes to the backlog.
  auto Charge(double bytes, instant now) -> void {
    busy_until_ = std::max(busy_until_, now) +
                  ToDuration(seconds{bytes / bytes_per_second_});
  }

 private:
  double bytes_per_second_;
  duration delay_;
  instant busy_until_;
};

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_LINK_COST_MODEL_H_
