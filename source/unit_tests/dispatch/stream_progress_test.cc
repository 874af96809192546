#include "dispatch/stream_progress.h"

#include <doctest/doctest.h>

namespace daisywind::dispatch {

TEST_CASE("events of a stream go on after the last one") {
  auto progress = stream_progress("");
  CHECK(progress.Accepts("1"));
  progress.OnEvent("9");
  CHECK(progress.last_event_id() == "9");
  CHECK_FALSE(progress.Accepts("9"));
  CHECK_FALSE(progress.Accepts("8"));
  CHECK(progress.Accepts("10"));
}

TEST_CASE("a stream goes on after the event that its caller names") {
  const auto progress = stream_progress("12");
  CHECK(progress.last_event_id() == "12");
  CHECK_FALSE(progress.Accepts("12"));
  CHECK(progress.Accepts("13"));
}

TEST_CASE("ids that are no numbers must differ from the last one") {
  auto progress = stream_progress("");
  progress.OnEvent("b");
  CHECK_FALSE(progress.Accepts("b"));
  CHECK(progress.Accepts("a"));
  CHECK(progress.Accepts("7"));
}

TEST_CASE("a stream with an event without an id can't be resumed") {
  auto progress = stream_progress("");
  CHECK(progress.CanResume());
  progress.OnEvent("1");
  CHECK(progress.CanResume());
  progress.OnEvent("");
  CHECK_FALSE(progress.CanResume());
  progress.OnEvent("2");
  CHECK_FALSE(progress.CanResume());
}

}  // namespace daisywind::dispatch
