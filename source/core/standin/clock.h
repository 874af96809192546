// The monotonic clock of the stand-ins.
#ifndef DAISYWIND_STANDIN_CLOCK_H_
#define DAISYWIND_STANDIN_CLOCK_H_

#include <chrono>

#include "common/time.h"

namespace daisywind::standin {

// The current time since an unspecified epoch.
inline auto Now() -> instant {
  const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
  return instant(std::chrono::duration_cast<duration>(since_start));
}

}  // namespace daisywind::standin

#endif  // DAISYWIND_STANDIN_CLOCK_H_
