// Whether a request may be sent again, and what its caller is told otherwise.
#ifndef DAISYWIND_DISPATCH_RETRY_RULES_H_
#define DAISYWIND_DISPATCH_RETRY_RULES_H_

#include <compare>
#include <cstdint>

#include "common/time.h"
#include "dispatch/types.h"

namespace daisywind::dispatch {

// How one attempt ended.
enum class attempt_result : std::uint8_t {
  // The endpoint said that it did not run it, was another one than the one
  // named, or never took a byte.
  kNotRun,
  // It may have run: no answer came, or no whole one.
  kMayHaveRun,
};

// The attempts of one request so far.
struct attempt_history {
  std::uint32_t attempts = 0;
  // Attempts that may have run.
  std::uint32_t runs = 0;

  auto operator<=>(const attempt_history&) const = default;
};

// What to do after an attempt that gave no answer.
enum class next_step : std::uint8_t {
  kTryAgain,
  // Not run and never will be: the caller may send it again.
  kRefuse,
  // The request may have run.
  kFail,
};

// Bounds of the attempts of one request.
struct retry_options {
  // Attempts that did not run, before the request is refused.
  std::uint32_t max_attempts = 5;
  // Less time than this is not worth another attempt.
  duration least_time = 20ms;
  // A request that may be repeated waits at one endpoint for so many times its
  // objective: by then its answer is late already.
  std::int64_t silent_objectives = 2;

  auto operator<=>(const retry_options&) const = default;
};

// How long an attempt is left without the beginning of an answer. An endpoint
// that stays silent, while its health looks good, would keep a request that may
// be repeated until it is too late.
auto FirstByteTimeout(const route& on,
                      const attempt_history& so_far,
                      duration time_left,
                      const retry_options& options) -> duration;

auto NextStep(const route& on,
              const attempt_history& so_far,
              attempt_result last,
              duration time_left,
              const retry_options& options) -> next_step;

}  // namespace daisywind::dispatch

#endif  // DAISYWIND_DISPATCH_RETRY_RULES_H_
