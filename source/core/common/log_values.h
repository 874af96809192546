// Values of log lines.
#ifndef DAISYWIND_COMMON_LOG_VALUES_H_
#define DAISYWIND_COMMON_LOG_VALUES_H_

#include <chrono>
#include <optional>

#include "common/time.h"

namespace daisywind {

// Logged in place of a time that does not apply.
inline constexpr auto kNoTime = -1.0;
// Logged in place of the rate limit of an endpoint that names none.
inline constexpr auto kNoLimit = -1.0;

inline auto Milliseconds(duration value) -> double {
  return std::chrono::duration<double, std::milli>(value).count();
}

inline auto Milliseconds(const std::optional<duration>& value) -> double {
  return value ? Milliseconds(*value) : kNoTime;
}

}  // namespace daisywind

#endif  // DAISYWIND_COMMON_LOG_VALUES_H_
