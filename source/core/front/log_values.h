// Values of the front's log lines.
#ifndef DAISYWIND_FRONT_LOG_VALUES_H_
#define DAISYWIND_FRONT_LOG_VALUES_H_

#include <chrono>

#include "common/time.h"

namespace daisywind::front {

// Logged in place of a time that does not apply.
inline constexpr auto kNoTime = -1.0;
// Logged in place of the rate limit of an endpoint that names none.
inline constexpr auto kNoLimit = -1.0;

inline auto Milliseconds(duration value) -> double {
  return std::chrono::duration<double, std::milli>(value).count();
}

}  // namespace daisywind::front

#endif  // DAISYWIND_FRONT_LOG_VALUES_H_
