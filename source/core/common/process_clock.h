// The only functions that read the clocks of the system.
#ifndef DAISYWIND_COMMON_PROCESS_CLOCK_H_
#define DAISYWIND_COMMON_PROCESS_CLOCK_H_

#include <time.h>

#include <chrono>
#include <cstdint>

#include "common/time.h"

namespace daisywind {

// Monotonic time, passed to the deterministic libraries as an argument. Counts
// the time in which the VM was suspended, which steady_clock does not: a lease
// or a deadline runs out meanwhile.
inline auto Now() -> instant {
  auto time = timespec{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  const auto since = std::chrono::seconds(time.tv_sec) +
                     std::chrono::nanoseconds(time.tv_nsec);
  return instant(std::chrono::duration_cast<duration>(since));
}

// Wall-clock time in milliseconds since the Unix epoch.
inline auto UnixMs() -> std::int64_t {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

// Wall-clock time in microseconds since the Unix epoch.
inline auto UnixUs() -> std::uint64_t {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(since).count());
}

// The offset to add to a monotonic time to get microseconds since the Unix
// epoch. VMs exchange times in that form because their monotonic clocks differ.
inline auto WallClockOffset() -> duration {
  return duration(static_cast<std::int64_t>(UnixUs())) -
         Now().time_since_epoch();
}

}  // namespace daisywind

#endif  // DAISYWIND_COMMON_PROCESS_CLOCK_H_
