// Decides whether a failed request is retried, and what its caller is told if
// it is not.
#ifndef DAISYWIND_DISPATCH_RETRY_RULES_H_
#define DAISYWIND_DISPATCH_RETRY_RULES_H_

#include <compare>
#include <cstdint>

#include "common/time.h"
#include "dispatch/types.h"

namespace daisywind::dispatch {

// What is known of an attempt that gave no complete answer.
enum class attempt_result : std::uint8_t {
  // The request was not run: the endpoint said so, a different endpoint
  // answered at its address, or no byte of the request was accepted.
  kNotRun,
  // The request may have run: there was no answer, or an incomplete one.
  kMayHaveRun,
};

// The attempts of one request so far.
struct attempt_history {
  std::uint32_t attempts = 0;
  // Attempts that may have run.
  std::uint32_t runs = 0;
  // Whether the caller has received a part of the response, so that it can get
  // no other status.
  bool is_answered = false;

  auto operator<=>(const attempt_history&) const = default;
};

// What to do after an attempt that gave no complete answer.
enum class next_step : std::uint8_t {
  kTryAgain,
  // The request has not run and will not, so the caller may send it again.
  kRefuse,
  // The request may have run, so the caller gets an error.
  kFail,
  // The response is cut off visibly after what the caller has received of it.
  kBreakOff,
};

// Limits on the attempts of one request.
struct retry_options {
  // Maximum number of attempts, including those that did not run; then the
  // request is refused, or fails if an attempt may have run.
  std::uint32_t max_attempts = 5;
  // Minimum time left for which another attempt is worthwhile.
  duration min_time = 20ms;
  // Minimum time left for which a stream is resumed: the next endpoint reads
  // the prompt again before it continues.
  duration min_resume_time = 100ms;
  // Time-out to the first byte for a request that may be repeated, as a
  // multiple of the route's latency objective: by then its answer is late
  // already.
  std::int64_t first_byte_objectives = 2;

  auto operator<=>(const retry_options&) const = default;
};

// Whether a request on the route may run more than once.
auto MayRepeat(const route& of) -> bool;

// Returns how long an attempt waits for the first byte of the answer. An
// endpoint can hang while it passes its health checks; without this limit it
// would keep a repeatable request until a retry is too late.
auto FirstByteTimeout(const route& matched_route,
                      const attempt_history& history,
                      duration time_left,
                      const retry_options& options) -> duration;

auto NextStep(const route& matched_route,
              const attempt_history& history,
              attempt_result result,
              duration time_left,
              const retry_options& options) -> next_step;

}  // namespace daisywind::dispatch

#endif  // DAISYWIND_DISPATCH_RETRY_RULES_H_
