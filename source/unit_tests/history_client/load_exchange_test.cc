#include "history_client/load_exchange.h"

#include <doctest/doctest.h>

#include <vector>

namespace daisywind::history {
namespace {

constexpr auto kStart = instant(100s);

auto Member(const char* address) -> member {
  auto item = member{};
  item.address = address;
  return item;
}

struct received_load {
  load_sample sample;
  instant at;
};

struct fixture {
  auto Request(const member& to, bool is_nearest, instant now)
      -> begin_request {
    auto request = begin_request{};
    exchange.AttachLoads(request, to, is_nearest, now);
    return request;
  }

  member near = Member("10.0.0.1:1");
  member far = Member("10.0.0.2:1");
  std::vector<received_load> received;
  load_exchange exchange{[this](const load_sample& sample, instant at) {
    received.push_back({sample, at});
  }};
};

TEST_CASE_FIXTURE(fixture, "each sample is sent to each member once") {
  exchange.AddSample({1, 3, 0, 0ms}, kStart);
  CHECK(Request(near, true, kStart + 5ms).loads ==
        std::vector<load_sample>{{1, 3, 0, 5ms}});
  CHECK(Request(near, true, kStart + 6ms).loads.empty());
  CHECK(Request(far, false, kStart + 7ms).loads.size() == 1);
  exchange.AddSample({1, 3, 0, 0ms}, kStart + 10ms);
  CHECK(Request(near, true, kStart + 11ms).loads.size() == 1);
}

TEST_CASE_FIXTURE(fixture, "endpoint failures are sent like loads") {
  exchange.AddSample({1, 3, 0, 0ms}, kStart);
  exchange.ReportFailure(1, kStart + 10ms);
  exchange.ReportFailure(2, kStart + 10ms);
  const auto loads = Request(near, true, kStart + 30ms).loads;
  REQUIRE(loads.size() == 2);
  CHECK(loads[0].endpoint == 2);
  CHECK(loads[0].failed_age == 20ms);
  CHECK(loads[0].age >= 4s);
  CHECK(loads[1] == load_sample{1, 3, 0, 30ms, 20ms});
}

TEST_CASE_FIXTURE(
    fixture,
    "changes are requested from the nearest member every 100 ms") {
  CHECK_FALSE(Request(far, false, kStart).loads_known);
  CHECK(Request(near, true, kStart).loads_known == 0U);
  CHECK_FALSE(Request(near, true, kStart + 99ms).loads_known);
  CHECK(Request(near, true, kStart + 100ms).loads_known == 0U);
}

TEST_CASE_FIXTURE(
    fixture,
    "received changes reach the handler and advance the position") {
  auto reply = begin_reply{};
  reply.loads = {{4, 7, 1, 30ms}};
  reply.loads_up_to = 12;
  exchange.ProcessReply(reply, near, kStart);
  REQUIRE(received.size() == 1);
  CHECK(received[0].sample.running == 7);
  CHECK(received[0].sample.age == 30ms);
  CHECK(received[0].at == kStart);
  CHECK(Request(near, true, kStart).loads_known == 12U);
  CHECK(Request(far, true, kStart + 1s).loads_known == 0U);
}

}  // namespace
}  // namespace daisywind::history
