// The only functions that read the clocks of the system.
#ifndef DAISYWIND_COMMON_PROCESS_CLOCK_H_
#define DAISYWIND_COMMON_PROCESS_CLOCK_H_

#include <chrono>
#include <cstdint>

#include "common/time.h"

namespace daisywind {

// Monotonic time, passed to the deterministic libraries as an argument.
inline auto Now() -> instant {
  const auto since = std::chrono::steady_clock::now().time_since_epoch();
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
