// Conversion between fractional seconds and the integer time of events.
#ifndef DAISYWIND_POLICY_UNITS_H_
#define DAISYWIND_POLICY_UNITS_H_

#include <chrono>

#include "common/time.h"

namespace daisywind::policy {

// Fractional seconds, used for estimates.
using seconds = std::chrono::duration<double>;

// Converts an estimate to the resolution of events, rounding towards zero.
inline auto ToDuration(seconds value) -> duration {
  return std::chrono::duration_cast<duration>(value);
}

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_UNITS_H_
