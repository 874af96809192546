#include "dispatch/admission.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <utility>

#include "admission_replay.h"
#include "dispatch/program_starts.h"

namespace daisywind::dispatch {
namespace {

constexpr auto kNow = instant(100s);

auto Service() -> service_id {
  return service_id("s");
}

auto AddEndpoint(endpoint_table& to, const std::string& id, unsigned load)
    -> void {
  constexpr auto kSlots = 10U;
  auto entry = endpoint{};
  entry.id = endpoint_id(id);
  entry.service = Service();
  entry.slots = kSlots;
  to.Put(entry, kNow - 10s);
  to.OnReport(entry.id, {load, 0, kSlots}, kNow);
}

auto Program(std::uint32_t priority = 0, const char* organisation = "")
    -> program_request {
  auto request = program_request{};
  request.service = Service();
  request.organisation = organisation_id(organisation);
  request.priority = priority;
  return request;
}

// Part of the programs that are refused at a load.
auto RefusedPart(const admission& control,
                 const program_request& request,
                 double load) -> double {
  constexpr auto kDraws = 2000;
  auto random = random_source(3);
  auto refused = 0;
  for (auto i = 0; i < kDraws; ++i) {
    const auto result = control.AdmitProgram(request, load, kNow, random);
    refused += result.outcome == admission_outcome::kAdmitted ? 0 : 1;
  }
  return double(refused) / kDraws;
}

auto AddDurations(admission& to, duration each) -> void {
  for (auto i = 0; i < 10; ++i) {
    to.OnRequestEnded(Service(), each, kNow);
  }
}

// Replays a load without and with admission control.
auto Both(program_replay_options options)
    -> std::pair<program_replay_result, program_replay_result> {
  options.has_admission = false;
  auto without = ReplayPrograms(options);
  options.has_admission = true;
  return {std::move(without), ReplayPrograms(options)};
}

TEST_CASE("the load is that of most endpoints, not of a few") {
  auto table = endpoint_table({});
  CHECK(ServiceLoad(table, Service(), kNow) == 0.0);
  AddEndpoint(table, "a", 20);
  AddEndpoint(table, "b", 20);
  AddEndpoint(table, "c", 20);
  AddEndpoint(table, "d", 20);
  CHECK(ServiceLoad(table, Service(), kNow) == doctest::Approx(2.0));
  // One slow endpoint must not stop programs that the others have room for.
  AddEndpoint(table, "slow", 400);
  CHECK(ServiceLoad(table, Service(), kNow) == doctest::Approx(2.0));
  // Nor does an endpoint that has just started show room for all.
  AddEndpoint(table, "new", 0);
  CHECK(ServiceLoad(table, Service(), kNow) == doctest::Approx(2.0));
  AddEndpoint(table, "free1", 1);
  AddEndpoint(table, "free2", 1);
  CHECK(ServiceLoad(table, Service(), kNow) == doctest::Approx(0.1));
  CHECK(MeanLoad(table, Service(), kNow) == doctest::Approx(482.0 / 8));
}

TEST_CASE("endpoints that leave do not count in the load") {
  auto table = endpoint_table({});
  AddEndpoint(table, "a", 20);
  AddEndpoint(table, "b", 0);
  table.SetLeaving(table.Find(endpoint_id("b"))->entry, kNow);
  CHECK(ServiceLoad(table, Service(), kNow) == doctest::Approx(2.0));
  CHECK(MeanLoad(table, Service(), kNow) == doctest::Approx(20.0));
}

// With room at the engines, programs must pass however long requests take.
TEST_CASE("no program is refused while the engines have room") {
  auto control = admission({});
  AddDurations(control, 60s);
  auto request = Program(9);
  request.program_time_left = 1s;
  request.requests_per_program = 100;
  CHECK(RefusedPart(control, request, 0.49) == 0.0);
}

TEST_CASE("the refused part rises with the load, later for better priorities") {
  const auto control = admission({});
  CHECK(RefusedPart(control, Program(0), 1.2) == 0.0);
  CHECK(RefusedPart(control, Program(9), 1.2) > 0.1);
  auto last = 0.0;
  for (const auto load : {1.4, 1.6, 1.8}) {
    const auto part = RefusedPart(control, Program(0), load);
    CHECK(part > last);
    CHECK(part < RefusedPart(control, Program(1), load));
    last = part;
  }
}

TEST_CASE("no priority is refused for good") {
  const auto control = admission({});
  CHECK(RefusedPart(control, Program(9), 1000.0) < 0.95);
}

TEST_CASE("programs are refused as they would become late") {
  auto control = admission({});
  AddDurations(control, 400ms);
  auto request = Program();
  request.requests_per_program = 5;
  const auto part = [&](duration time_left) {
    request.program_time_left = time_left;
    return RefusedPart(control, request, 0.6);
  };
  CHECK(part(8s) == 0.0);
  CHECK(part(2500ms) > 0.1);
  CHECK(part(2500ms) < 0.8);
  CHECK(part(1500ms) > 0.8);
  // It would end after twice its time, when it is worth nothing.
  CHECK(part(900ms) == 1.0);
  request.program_time_left.reset();
  CHECK(RefusedPart(control, request, 0.6) == 0.0);
}

TEST_CASE("durations of an earlier time do not refuse programs") {
  auto control = admission({});
  AddDurations(control, 10s);
  CHECK(control.MeanDuration(Service(), kNow) == 10s);
  CHECK(control.MeanDuration(kNow) == 10s);
  CHECK_FALSE(control.MeanDuration(Service(), kNow + 3s));
  CHECK_FALSE(control.MeanDuration(service_id("other"), kNow));
}

TEST_CASE("an organisation above its equal part is refused first") {
  auto control = admission({});
  for (auto i = 0; i < 30; ++i) {
    control.OnProgramAdmitted(organisation_id("large"), kNow);
  }
  for (auto i = 0; i < 3; ++i) {
    control.OnProgramAdmitted(organisation_id("small"), kNow);
    control.OnProgramAdmitted(organisation_id("other"), kNow);
  }
  constexpr auto kLoad = 1.4;
  const auto large = RefusedPart(control, Program(0, "large"), kLoad);
  const auto small = RefusedPart(control, Program(0, "small"), kLoad);
  const auto absent = RefusedPart(control, Program(0, "absent"), kLoad);
  CHECK(large > 4 * small);
  CHECK(absent <= small);
  // Alone, an organisation takes nothing from any other.
  auto alone = admission({});
  alone.OnProgramAdmitted(organisation_id("large"), kNow);
  CHECK(RefusedPart(alone, Program(0, "large"), kLoad) ==
        RefusedPart(admission({}), Program(0, "large"), kLoad));
}

TEST_CASE("the number of organisations that are counted is bounded") {
  auto options = admission_options{};
  options.max_organisations = 2;
  auto control = admission(options);
  // The least active one is dropped, and not one that is above its part.
  for (auto i = 0; i < 20; ++i) {
    control.OnProgramAdmitted(organisation_id("large"), kNow);
    control.OnProgramAdmitted(organisation_id("o" + std::to_string(i)), kNow);
  }
  CHECK(RefusedPart(control, Program(0, "large"), 1.4) >
        RefusedPart(admission({}), Program(0, "large"), 1.4));
}

TEST_CASE("a request that can't end in time is refused at a full endpoint") {
  auto control = admission({});
  const auto outcome = [&](double load, duration time_left) {
    return control.AdmitAttempt(Service(), load, 20.0, 10, time_left, kNow)
        .outcome;
  };
  // Without known durations nothing is refused.
  CHECK(outcome(20.0, 1ms) == admission_outcome::kAdmitted);
  AddDurations(control, 2s);
  CHECK(outcome(20.0, 900ms) == admission_outcome::kTooLate);
  CHECK(outcome(20.0, 1100ms) == admission_outcome::kAdmitted);
  // A shorter line takes less time, and a free slot starts it at once.
  CHECK(outcome(13.0, 900ms) == admission_outcome::kAdmitted);
  CHECK(outcome(9.0, 1ms) == admission_outcome::kAdmitted);
}

TEST_CASE("Retry-After is spread, up to a third of the remaining time") {
  auto random = random_source(5);
  const auto options = admission_options{};
  auto least = duration::max();
  auto most = duration(0);
  for (auto i = 0; i < 1000; ++i) {
    const auto wait = SpreadRetryAfter(250ms, 1s, 60s, options, random);
    REQUIRE(wait);
    least = std::min(least, *wait);
    most = std::max(most, *wait);
    for (const auto left : {30ms, 100ms, 600ms, 2999ms}) {
      const auto capped = SpreadRetryAfter(250ms, 1s, left, options, random);
      REQUIRE(capped);
      CHECK(*capped <= left / 3);
    }
  }
  CHECK(least >= 250ms);
  CHECK(least < 300ms);
  CHECK(most <= 1s);
  CHECK(most > 950ms);
  CHECK_FALSE(SpreadRetryAfter(250ms, 1s, 20ms, options, random));
}

// The retry would pass as a request of a program under way.
TEST_CASE("the retry of a refused start is a start again") {
  auto starts = program_starts{};
  auto request = call{};
  auto from = route{};
  from.kind = route_kind::kStream;
  const auto is_start = [&] {
    return starts.IsStart(request, from, "p", std::nullopt);
  };
  CHECK(is_start());
  starts.OnRequest("p", true, kNow);
  CHECK_FALSE(is_start());
  starts.OnStartRefused("p");
  CHECK(is_start());
  starts.OnStartRefused("unknown");
  CHECK(starts.RequestsPerProgram() == 1.0);
}

// Replays. The engines process 67 programs a second.

TEST_CASE("replay: the usual load is served as without admission control") {
  const auto [without, with] = Both({{{"a", 0, 25}, {"b", 1, 25}}});
  CHECK(with.refusals == 0);
  CHECK(with.Total().Value() == without.Total().Value());
}

TEST_CASE("replay: a burst of one class") {
  const auto [without, with] = Both({{{"a", 0, 20}, {"b", 1, 20, 4}}});
  CHECK(with.Total().Value() > 2 * without.Total().Value());
  // The class with the better priority keeps most of its value, and the one
  // with the burst is not starved.
  CHECK(with.classes[0].Value() > 0.8);
  CHECK(with.classes[1].Value() > 0.5);
  // Programs under way are not given up for new ones.
  CHECK(with.Total().failed * 100 < with.Total().programs);
}

TEST_CASE("replay: a burst of all classes") {
  const auto [without, with] = Both({{{"a", 0, 25, 1.9}, {"b", 1, 25, 1.9}}});
  CHECK(with.Total().Value() > 2 * without.Total().Value());
  CHECK(with.classes[0].Value() > with.classes[1].Value());
  CHECK(with.classes[1].Value() > 0.5);
  CHECK(with.Total().failed * 100 < with.Total().programs);
}

TEST_CASE("replay: one organisation at several times its rate") {
  const auto [without, with] =
      Both({{{"a", 0, 10}, {"b", 0, 10}, {"c", 0, 10}, {"hot", 0, 10, 7.5}}});
  for (auto i = std::size_t{0}; i < 3; ++i) {
    CAPTURE(i);
    CHECK(with.classes[i].Value() > 0.75);
    CHECK(with.classes[i].Value() > 2 * without.classes[i].Value());
    CHECK(with.classes[i].refused * 10 < with.classes[i].programs);
  }
  CHECK(with.classes[3].Value() > without.classes[3].Value());
}

TEST_CASE("replay: a third of the engines slow") {
  auto options = program_replay_options{};
  options.classes = {{"a", 0, 30}, {"b", 1, 30}};
  options.slow_engines = 4;
  const auto [without, with] = Both(options);
  CHECK(with.Total().Value() > without.Total().Value() + 0.1);
  CHECK(with.Total().failed * 100 < with.Total().programs);
}

TEST_CASE("replay: a release during a burst") {
  auto options = program_replay_options{};
  options.classes = {{"a", 0, 20, 1.9}, {"b", 1, 20, 1.9}};
  options.has_release = true;
  const auto [without, with] = Both(options);
  CHECK(with.Total().Value() > without.Total().Value() + 0.1);
  CHECK(with.Total().failed * 100 < with.Total().programs);
}

TEST_CASE("replay: all callers back at once") {
  auto options = program_replay_options{};
  options.classes = {{"a", 0, 20, 1, 200}, {"b", 1, 20, 1, 200}};
  const auto [without, with] = Both(options);
  CHECK(with.Total().Value() > without.Total().Value());
  CHECK(with.Total().failed * 100 < with.Total().programs);
  // Retries of the refused ones come spread out: after the moment itself, no
  // tenth of a second has a quarter of them.
  const auto first = options.burst_begin / 100ms;
  for (const auto& [tenth, count] : with.starts) {
    if (tenth != first) {
      CHECK(count < 100);
    }
  }
}

}  // namespace
}  // namespace daisywind::dispatch
