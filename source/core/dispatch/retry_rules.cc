#include "dispatch/retry_rules.h"

#include <algorithm>

namespace daisywind::dispatch {

auto MayRepeat(const route& of) -> bool {
  return of.kind == route_kind::kIdempotent ||
         (of.kind == route_kind::kStream && of.is_resumable);
}

auto FirstByteTimeout(const route& matched_route,
                      const attempt_history& history,
                      duration time_left,
                      const retry_options& options) -> duration {
  // An engine answers late under load rather than hangs.
  const auto may_repeat = matched_route.kind == route_kind::kIdempotent &&
                          history.runs + 1 < matched_route.max_attempts &&
                          history.attempts + 1 < options.max_attempts;
  return may_repeat ? std::min(options.first_byte_objectives *
                                   matched_route.latency_objective,
                               time_left)
                    : time_left;
}

auto NextStep(const route& matched_route,
              const attempt_history& history,
              attempt_result result,
              duration time_left,
              const retry_options& options) -> next_step {
  const auto final_step = history.is_answered ? next_step::kBreakOff
                          : history.runs > 0  ? next_step::kFail
                                              : next_step::kRefuse;
  const auto min_time =
      history.is_answered ? options.min_resume_time : options.min_time;
  if (time_left < min_time || history.attempts >= options.max_attempts) {
    return final_step;
  }
  if (result == attempt_result::kNotRun) {
    return next_step::kTryAgain;
  }
  const auto may_repeat =
      MayRepeat(matched_route) && history.runs < matched_route.max_attempts;
  return may_repeat ? next_step::kTryAgain : final_step;
}

}  // namespace daisywind::dispatch
