#include "dispatch/retry_rules.h"

#include <algorithm>

namespace daisywind::dispatch {

auto FirstByteTimeout(const route& on,
                      const attempt_history& so_far,
                      duration time_left,
                      const retry_options& options) -> duration {
  const auto may_repeat = on.kind == route_kind::kIdempotent &&
                          so_far.runs + 1 < on.max_attempts &&
                          so_far.attempts + 1 < options.max_attempts;
  return may_repeat
             ? std::min(options.silent_objectives * on.objective, time_left)
             : time_left;
}

auto NextStep(const route& on,
              const attempt_history& so_far,
              attempt_result last,
              duration time_left,
              const retry_options& options) -> next_step {
  const auto gives_up = so_far.runs > 0 ? next_step::kFail : next_step::kRefuse;
  if (time_left < options.least_time ||
      so_far.attempts >= options.max_attempts) {
    return gives_up;
  }
  if (last == attempt_result::kNotRun) {
    return next_step::kTryAgain;
  }
  const auto may_repeat =
      on.kind == route_kind::kIdempotent && so_far.runs < on.max_attempts;
  return may_repeat ? next_step::kTryAgain : gives_up;
}

}  // namespace daisywind::dispatch
