// The network between regions: one direction of the link, first come first
// served, shared by all gateways.
#ifndef DAISYWIND_EXPERIMENT_LINK_FAKE_H_
#define DAISYWIND_EXPERIMENT_LINK_FAKE_H_

#include <algorithm>
#include <cstdint>

#include "common/time.h"

namespace daisywind::experiment {

class link_fake {
 public:
  link_fake(double bits_per_s, duration delay)
      : bits_per_s_(bits_per_s), delay_(delay) {}

  // Sends bytes and returns the time at which all have arrived.
  auto Send(double bytes, instant now) -> instant {
    constexpr auto kBitsPerByte = 8.0;
    const auto length =
        std::chrono::duration<double>{bytes * kBitsPerByte / bits_per_s_};
    free_ = std::max(free_, now) + std::chrono::duration_cast<duration>(length);
    bytes_ += bytes;
    return free_ + delay_;
  }

  // All bytes sent so far.
  [[nodiscard]] auto bytes() const -> double { return bytes_; }

 private:
  double bits_per_s_;
  duration delay_;
  instant free_;
  double bytes_ = 0.0;
};

}  // namespace daisywind::experiment

#endif  // DAISYWIND_EXPERIMENT_LINK_FAKE_H_
