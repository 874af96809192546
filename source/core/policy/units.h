// Conversions between the time of events and fractional seconds.
#ifndef DAISYWIND_POLICY_UNITS_H_
#define DAISYWIND_POLICY_UNITS_H_

#include <chrono>

#include "common/time.h"

namespace daisywind::policy {

// Time in fractional seconds, for estimates.
using seconds = std::chrono::duration<double>;

// Rounds an estimate to the resolution of events.
inline auto ToDuration(seconds value) -> duration {
  return std::chrono::duration_cast<duration>(value);
}

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_UNITS_H_
