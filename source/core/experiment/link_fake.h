// Simulation model of one direction of a network link between regions. All
// gateways share it; messages are transmitted first come, first served.
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

  // Queues a message and returns the time at which all its bytes have arrived.
  auto Send(double bytes, instant now) -> instant {
    constexpr auto kBitsPerByte = 8.0;
    const auto transmit_time =
        std::chrono::duration<double>{bytes * kBitsPerByte / bits_per_s_};
    free_at_ = std::max(free_at_, now) +
               std::chrono::duration_cast<duration>(transmit_time);
    bytes_ += bytes;
    return free_at_ + delay_;
  }

  // Total bytes sent.
  [[nodiscard]] auto bytes() const -> double { return bytes_; }

 private:
  double bits_per_s_;
  duration delay_;
  // End of the last queued transmission.
  instant free_at_;
  double bytes_ = 0.0;
};

}  // namespace daisywind::experiment

#endif  // DAISYWIND_EXPERIMENT_LINK_FAKE_H_
