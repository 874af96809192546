// Time types of the deterministic libraries, which get the time as an argument
// and never read a clock.
#ifndef DAISYWIND_COMMON_TIME_H_
#define DAISYWIND_COMMON_TIME_H_

#include <chrono>

namespace daisywind {

using duration = std::chrono::microseconds;

// Clock type of injected times. It has no now(): the adapters read the clock
// and pass the time in, which keeps the libraries deterministic.
struct core_clock {
  using rep = std::chrono::microseconds::rep;
  using period = std::chrono::microseconds::period;
  using duration = std::chrono::microseconds;
  using time_point = std::chrono::time_point<core_clock>;
};

using instant = core_clock::time_point;

using std::chrono_literals::operator""s;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""us;

}  // namespace daisywind

#endif  // DAISYWIND_COMMON_TIME_H_
