#include "dispatch/retry_rules.h"

#include <doctest/doctest.h>

namespace daisywind::dispatch {
namespace {

auto Route(route_kind kind, std::uint32_t max_attempts) -> route {
  auto item = route{};
  item.kind = kind;
  item.max_attempts = max_attempts;
  return item;
}

TEST_CASE("a request that has not run is retried on any kind of route") {
  for (const auto kind :
       {route_kind::kIdempotent, route_kind::kOnce, route_kind::kStream}) {
    CHECK(NextStep(Route(kind, 1), {1, 0}, attempt_result::kNotRun, 1s, {}) ==
          next_step::kTryAgain);
  }
}

TEST_CASE("a request that may have run is retried only if it is idempotent") {
  CHECK(NextStep(Route(route_kind::kIdempotent, 2), {1, 1},
                 attempt_result::kMayHaveRun, 1s, {}) == next_step::kTryAgain);
  CHECK(NextStep(Route(route_kind::kIdempotent, 2), {2, 2},
                 attempt_result::kMayHaveRun, 1s, {}) == next_step::kFail);
  for (const auto kind : {route_kind::kOnce, route_kind::kStream}) {
    CHECK(NextStep(Route(kind, 5), {1, 1}, attempt_result::kMayHaveRun, 1s,
                   {}) == next_step::kFail);
  }
}

TEST_CASE("a request is refused only when no attempt may have run") {
  CHECK(NextStep(Route(route_kind::kOnce, 1), {9, 0}, attempt_result::kNotRun,
                 1s, {}) == next_step::kRefuse);
  CHECK(NextStep(Route(route_kind::kIdempotent, 3), {9, 1},
                 attempt_result::kNotRun, 1s, {}) == next_step::kFail);
}

// Guards against endpoints that pass health checks and never answer.
TEST_CASE("a repeatable request leaves an unresponsive endpoint early") {
  auto matched_route = Route(route_kind::kIdempotent, 2);
  matched_route.latency_objective = 300ms;
  CHECK(FirstByteTimeout(matched_route, {0, 0}, 1500ms, {}) == 600ms);
  CHECK(FirstByteTimeout(matched_route, {0, 0}, 400ms, {}) == 400ms);
  // The last attempt may use all of the remaining time.
  CHECK(FirstByteTimeout(matched_route, {1, 1}, 900ms, {}) == 900ms);
  matched_route.kind = route_kind::kOnce;
  CHECK(FirstByteTimeout(matched_route, {0, 0}, 1500ms, {}) == 1500ms);
}

TEST_CASE("a stream that may be resumed goes on at another endpoint") {
  auto matched_route = Route(route_kind::kStream, 2);
  const auto answered = attempt_history{1, 1, true};
  CHECK(NextStep(matched_route, answered, attempt_result::kMayHaveRun, 1s,
                 {}) == next_step::kBreakOff);
  matched_route.is_resumable = true;
  CHECK(NextStep(matched_route, answered, attempt_result::kMayHaveRun, 1s,
                 {}) == next_step::kTryAgain);
  // Before its first event it begins again.
  CHECK(NextStep(matched_route, {1, 1}, attempt_result::kMayHaveRun, 1s, {}) ==
        next_step::kTryAgain);
}

TEST_CASE("a stream is resumed only within its attempts and its time") {
  auto matched_route = Route(route_kind::kStream, 2);
  matched_route.is_resumable = true;
  const auto options = retry_options{};
  CHECK(NextStep(matched_route, {2, 2, true}, attempt_result::kMayHaveRun, 1s,
                 options) == next_step::kBreakOff);
  // Endpoints that did not run it do not count as attempts of the route.
  CHECK(NextStep(matched_route, {3, 1, true}, attempt_result::kNotRun, 1s,
                 options) == next_step::kTryAgain);
  CHECK(NextStep(matched_route, {1, 1, true}, attempt_result::kMayHaveRun,
                 options.min_resume_time - 1ms,
                 options) == next_step::kBreakOff);
}

TEST_CASE("no attempt starts when too little time is left") {
  CHECK(NextStep(Route(route_kind::kOnce, 1), {1, 0}, attempt_result::kNotRun,
                 5ms, {}) == next_step::kRefuse);
}

}  // namespace
}  // namespace daisywind::dispatch
