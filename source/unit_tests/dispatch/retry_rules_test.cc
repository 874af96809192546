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

TEST_CASE("what has not run is tried again, whatever its kind") {
  for (const auto kind :
       {route_kind::kIdempotent, route_kind::kOnce, route_kind::kStream}) {
    CHECK(NextStep(Route(kind, 1), {1, 0}, attempt_result::kNotRun, 1s, {}) ==
          next_step::kTryAgain);
  }
}

TEST_CASE("what may have run is tried again only if it is idempotent") {
  CHECK(NextStep(Route(route_kind::kIdempotent, 2), {1, 1},
                 attempt_result::kMayHaveRun, 1s, {}) == next_step::kTryAgain);
  CHECK(NextStep(Route(route_kind::kIdempotent, 2), {2, 2},
                 attempt_result::kMayHaveRun, 1s, {}) == next_step::kFail);
  for (const auto kind : {route_kind::kOnce, route_kind::kStream}) {
    CHECK(NextStep(Route(kind, 5), {1, 1}, attempt_result::kMayHaveRun, 1s,
                   {}) == next_step::kFail);
  }
}

TEST_CASE("a refusal is given only when nothing may have run") {
  CHECK(NextStep(Route(route_kind::kOnce, 1), {9, 0}, attempt_result::kNotRun,
                 1s, {}) == next_step::kRefuse);
  CHECK(NextStep(Route(route_kind::kIdempotent, 3), {9, 1},
                 attempt_result::kNotRun, 1s, {}) == next_step::kFail);
}

// Endpoints that look healthy and never answer.
TEST_CASE(
    "what may be repeated does not wait for a silent endpoint to the end") {
  auto on = Route(route_kind::kIdempotent, 2);
  on.objective = 300ms;
  CHECK(FirstByteTimeout(on, {0, 0}, 1500ms, {}) == 600ms);
  CHECK(FirstByteTimeout(on, {0, 0}, 400ms, {}) == 400ms);
  // The last attempt has all the time that is left.
  CHECK(FirstByteTimeout(on, {1, 1}, 900ms, {}) == 900ms);
  on.kind = route_kind::kOnce;
  CHECK(FirstByteTimeout(on, {0, 0}, 1500ms, {}) == 1500ms);
}

TEST_CASE("no attempt is begun without time for it") {
  CHECK(NextStep(Route(route_kind::kOnce, 1), {1, 0}, attempt_result::kNotRun,
                 5ms, {}) == next_step::kRefuse);
}

}  // namespace
}  // namespace daisywind::dispatch
