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

TEST_CASE("no attempt starts when too little time is left") {
  CHECK(NextStep(Route(route_kind::kOnce, 1), {1, 0}, attempt_result::kNotRun,
                 5ms, {}) == next_step::kRefuse);
}

}  // namespace
}  // namespace daisywind::dispatch
