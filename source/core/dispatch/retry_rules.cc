#include "dispatch/retry_rules.h"

#include <algorithm>

namespace daisywind::dispatch {

auto FirstByteTimeout(const route& matched_route,
                      const attempt_history& history,
                      duration time_left,
                      const retry_options& options) -> duration {
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
  const auto final_step =
      history.runs > 0 ? next_step::kFail : next_step::kRefuse;
  if (time_left < options.min_time ||
      history.attempts >= options.max_attempts) {
    return final_step;
  }
  if (result == attempt_result::kNotRun) {
    return next_step::kTryAgain;
  }
  const auto may_repeat = matched_route.kind == route_kind::kIdempotent &&
                          history.runs < matched_route.max_attempts;
  return may_repeat ? next_step::kTryAgain : final_step;
}

}  // namespace daisywind::dispatch
