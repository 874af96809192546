#include "dispatch/retry_rules.h"

namespace daisywind::dispatch {

auto NextStep(const route& on,
              const attempt_history& so_far,
              attempt_end last,
              duration time_left,
              const retry_options& options) -> next_step {
  const auto gives_up = so_far.runs > 0 ? next_step::kFail : next_step::kRefuse;
  if (time_left < options.least_time ||
      so_far.attempts >= options.max_attempts) {
    return gives_up;
  }
  if (last == attempt_end::kNotRun) {
    return next_step::kTryAgain;
  }
  const auto may_repeat =
      on.kind == route_kind::kIdempotent && so_far.runs < on.max_attempts;
  return may_repeat ? next_step::kTryAgain : gives_up;
}

}  // namespace daisywind::dispatch
