#include "history_client/quota_credits.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace daisywind::history {
namespace {

constexpr auto kStart = instant(100s);
constexpr auto kLimit = request_limit{3, 100, 50};

auto Id(const std::string& name) -> organisation_id {
  return organisation_id(name);
}

struct fixture {
  fixture() { credits.SetMembers({"near", "beside", "far"}); }

  // `count` requests of an organisation arrive and wait.
  auto Wait(const std::string& name, std::uint32_t count) -> void {
    for (auto i = std::uint32_t{0}; i < count; ++i) {
      credits.OnArrival(Id(name), kLimit, now);
    }
    credits.SetWaiting(Id(name), count);
  }

  // The member replies at once to a request, which there must be.
  auto Grant(const char* member, std::uint32_t granted, duration retry = {})
      -> quota_request {
    const auto request = credits.MakeRequest(member, now);
    REQUIRE(request);
    Reply(member, *request, granted, now, retry);
    return *request;
  }

  auto Reply(const char* member,
             const quota_request& request,
             std::uint32_t granted,
             instant sent_at,
             duration retry = {}) -> void {
    auto reply = quota_reply{};
    for (const auto& demand : request.demands) {
      reply.grants.push_back({demand.organisation, granted, retry});
    }
    credits.ProcessReply(member, request, reply, sent_at, now);
  }

  auto TakeAll(const char* name) -> int {
    auto taken = 0;
    while (credits.Take(Id(name), now)) {
      ++taken;
    }
    return taken;
  }

  quota_credits credits;
  instant now = kStart;
};

TEST_CASE_FIXTURE(fixture, "a request waits until a member grants it") {
  Wait("o", 1);
  CHECK_FALSE(credits.Take(Id("o"), now));
  CHECK(credits.StateOf(Id("o"), now) == quota_state::kPending);
  const auto request = Grant("near", 1);
  REQUIRE(request.demands.size() == 1);
  CHECK(request.demands[0].organisation == Id("o"));
  CHECK(request.demands[0].limit == kLimit);
  CHECK(request.demands[0].wanted == 1);
  CHECK(credits.StateOf(Id("o"), now) == quota_state::kGranted);
  const auto credit = credits.Take(Id("o"), now);
  REQUIRE(credit);
  CHECK(credit->member == "near");
  CHECK_FALSE(credits.Take(Id("o"), now));
}

// Guards against several members that are asked for the same request.
TEST_CASE_FIXTURE(fixture, "only the nearest member is asked") {
  Wait("o", 3);
  CHECK_FALSE(credits.MakeRequest("far", now));
  CHECK_FALSE(credits.MakeRequest("beside", now));
  REQUIRE(credits.MakeRequest("near", now));
  for (const auto* member : {"near", "beside", "far"}) {
    CHECK_FALSE(credits.MakeRequest(member, now));
  }
}

TEST_CASE_FIXTURE(fixture, "members are asked in order until one has some") {
  Wait("o", 1);
  Grant("near", 0, 5s);
  CHECK_FALSE(credits.MakeRequest("far", now));
  Grant("beside", 0, 3s);
  CHECK(credits.StateOf(Id("o"), now) == quota_state::kPending);
  Grant("far", 1);
  CHECK(credits.Take(Id("o"), now)->member == "far");
}

// Guards against messages for requests that are refused anyway.
TEST_CASE_FIXTURE(fixture, "a used-up limit costs no message") {
  Wait("o", 1);
  Grant("near", 0, 5s);
  Grant("beside", 0, 3s);
  Grant("far", 0, 4s);
  CHECK(credits.StateOf(Id("o"), now) == quota_state::kExceeded);
  CHECK(credits.RetryAfter(Id("o"), now) == 3s);
  for (const auto* member : {"near", "beside", "far"}) {
    CHECK_FALSE(credits.MakeRequest(member, now));
  }
  now += 1s;
  CHECK(credits.RetryAfter(Id("o"), now) == 2s);
  // Other organisations have limits of their own.
  Wait("other", 1);
  CHECK(credits.StateOf(Id("other"), now) == quota_state::kPending);
  // The first member that has room again is asked again.
  now += 2s;
  CHECK(credits.StateOf(Id("o"), now) == quota_state::kPending);
  const auto request = credits.MakeRequest("beside", now);
  REQUIRE(request);
  CHECK(request->demands[0].organisation == Id("o"));
}

TEST_CASE_FIXTURE(fixture, "a member that fails is passed over for a while") {
  Wait("o", 1);
  credits.OnFailure("near", *credits.MakeRequest("near", now), now);
  Grant("beside", 1);
  CHECK(TakeAll("o") == 1);
  CHECK_FALSE(credits.MakeRequest("near", now));
  now += 1s;
  CHECK(credits.MakeRequest("near", now));
}

// Guards against a request that waits for a member that doesn't reply.
TEST_CASE_FIXTURE(fixture, "another member is asked beside a slow one") {
  Wait("o", 1);
  const auto slow = *credits.MakeRequest("near", now);
  credits.OnSlow("near", slow);
  Grant("beside", 1);
  CHECK(TakeAll("o") == 1);
  CHECK_FALSE(credits.MakeRequest("near", now));
  // What it grants late counts, and it is asked again.
  const auto sent_at = now;
  now += 200ms;
  Reply("near", slow, 1, sent_at);
  CHECK(TakeAll("o") == 1);
  CHECK(credits.MakeRequest("near", now));
}

// Guards against requests that run without a credit while no member can be
// asked, and against a 429 that no member has stated.
TEST_CASE_FIXTURE(fixture, "the limit is unknown while no member replies") {
  Wait("o", 1);
  for (const auto* member : {"near", "beside", "far"}) {
    credits.OnFailure(member, *credits.MakeRequest(member, now), now);
  }
  CHECK(credits.StateOf(Id("o"), now) == quota_state::kUnknown);
  credits.SetMembers({});
  CHECK(credits.StateOf(Id("o"), now + 10s) == quota_state::kUnknown);
  CHECK(credits.StateOf(Id("never seen"), now) == quota_state::kUnknown);
}

// Guards against a view change that makes a front treat sound members as
// failed.
TEST_CASE_FIXTURE(fixture, "a member that rejects a view is asked again") {
  Wait("o", 1);
  credits.OnRejected("near", *credits.MakeRequest("near", now));
  CHECK(credits.StateOf(Id("o"), now) == quota_state::kPending);
  CHECK(credits.MakeRequest("near", now));
}

// Guards against a paused front that sends requests with old credits on top of
// those that others have got meanwhile.
TEST_CASE_FIXTURE(fixture, "a credit lapses, counted from when it was asked") {
  Wait("o", 2);
  const auto request = *credits.MakeRequest("near", now);
  const auto sent_at = now;
  now += 250ms;
  Reply("near", request, 2, sent_at);
  now = sent_at + 299ms;
  CHECK(credits.Take(Id("o"), now));
  now = sent_at + 300ms;
  CHECK(credits.StateOf(Id("o"), now) != quota_state::kGranted);
  CHECK_FALSE(credits.Take(Id("o"), now));
}

TEST_CASE_FIXTURE(fixture, "a credit granted after it lapsed is not used") {
  Wait("o", 1);
  const auto request = *credits.MakeRequest("near", now);
  const auto sent_at = now;
  now += 301ms;
  Reply("near", request, 1, sent_at);
  CHECK_FALSE(credits.Take(Id("o"), now));
  CHECK(credits.StateOf(Id("o"), now) == quota_state::kPending);
}

// A late reply's credits lapse before those that came earlier.
TEST_CASE_FIXTURE(fixture, "no lapsed credit is used, whatever their order") {
  Wait("o", 1);
  const auto first_sent_at = now;
  const auto first = *credits.MakeRequest("near", now);
  now += 100ms;
  credits.OnSlow("near", first);
  Grant("beside", 1);
  now += 50ms;
  Reply("near", first, 1, first_sent_at);
  now = first_sent_at + 350ms;
  const auto credit = credits.Take(Id("o"), now);
  REQUIRE(credit);
  CHECK(credit->member == "beside");
  CHECK_FALSE(credits.Take(Id("o"), now));
}

// Guards against limits that shrink by what fronts have asked for and not
// needed.
TEST_CASE_FIXTURE(fixture, "lapsed credits are returned to their member") {
  Wait("o", 5);
  Grant("near", 5);
  CHECK(credits.Take(Id("o"), now));
  credits.SetWaiting(Id("o"), 0);
  now += 300ms;
  credits.Tick(now);
  // They wait a little for a request that goes there anyway, but not for long.
  CHECK_FALSE(credits.MakeRequest("near", now));
  now += 600ms;
  credits.Tick(now);
  CHECK_FALSE(credits.MakeRequest("beside", now));
  const auto request = credits.MakeRequest("near", now);
  REQUIRE(request);
  REQUIRE(request->demands.size() == 1);
  CHECK(request->demands[0].wanted == 0);
  CHECK(request->demands[0].returned == 4);
  CHECK_FALSE(credits.MakeRequest("near", now));
}

TEST_CASE_FIXTURE(fixture, "lapsed credits go back with the next request") {
  Wait("o", 3);
  Grant("near", 3);
  now += 300ms;
  credits.Tick(now);
  const auto request = credits.MakeRequest("near", now);
  REQUIRE(request);
  CHECK(request->demands[0].wanted >= 3);
  CHECK(request->demands[0].returned == 3);
}

TEST_CASE_FIXTURE(fixture, "a credit that was given back serves another") {
  Wait("o", 1);
  Grant("near", 1);
  const auto credit = *credits.Take(Id("o"), now);
  now += 100ms;
  credits.Return(Id("o"), credit, now);
  CHECK(credits.StateOf(Id("o"), now) == quota_state::kGranted);
  CHECK(credits.Take(Id("o"), now) == credit);
  // Given back after it lapsed, it goes to its member.
  credits.SetWaiting(Id("o"), 0);
  now += 300ms;
  credits.Return(Id("o"), credit, now);
  CHECK_FALSE(credits.Take(Id("o"), now));
  now += 600ms;
  const auto request = credits.MakeRequest("near", now);
  REQUIRE(request);
  CHECK(request->demands[0].returned == 1);
}

// Guards against a message for each request of an organisation that has many
// at this front.
TEST_CASE_FIXTURE(fixture, "a busy organisation's credits are asked ahead") {
  for (auto i = 0; i < 400; ++i) {
    now += 10ms;
    credits.OnArrival(Id("o"), kLimit, now);
  }
  credits.SetWaiting(Id("o"), 1);
  auto request = credits.MakeRequest("near", now);
  REQUIRE(request);
  // 100 requests a second and a quarter of a second ahead.
  CHECK(request->demands[0].wanted >= 20);
  CHECK(request->demands[0].wanted <= 30);
  // The rate of a burst that is over does not count any more.
  credits.OnFailure("near", *request, now);
  now += 10s;
  request = credits.MakeRequest("near", now);
  REQUIRE(request);
  CHECK(request->demands[0].wanted == 1);
}

TEST_CASE_FIXTURE(fixture, "a member's grant beyond what was asked is cut") {
  Wait("o", 2);
  Grant("near", std::numeric_limits<std::uint32_t>::max());
  CHECK(TakeAll("o") == 2);
}

// Guards against a reply for others, as from a member of a later version.
TEST_CASE_FIXTURE(fixture, "only grants that fit the request count") {
  Wait("o", 1);
  const auto request = *credits.MakeRequest("near", now);
  auto reply = quota_reply{};
  reply.grants.push_back({Id("other"), 5, {}});
  reply.grants.push_back({Id("o"), 5, {}});
  credits.ProcessReply("near", request, reply, now, now);
  CHECK(TakeAll("o") == 0);
  CHECK(TakeAll("other") == 0);
  // The member can be asked again.
  CHECK(credits.MakeRequest("near", now));
  credits.ProcessReply("near", request, {}, now, now);
  CHECK(credits.MakeRequest("near", now));
}

// Guards against messages without bound, and against organisations that are
// left out of them for good.
TEST_CASE_FIXTURE(fixture,
                  "many organisations are asked for in several turns") {
  constexpr auto kOrganisations = 150;
  for (auto i = 0; i < kOrganisations; ++i) {
    Wait("o" + std::to_string(i), 1);
  }
  auto asked = std::size_t{0};
  while (const auto request = credits.MakeRequest("near", now)) {
    CHECK(request->demands.size() <= 64);
    asked += request->demands.size();
  }
  CHECK(asked == kOrganisations);
}

// Guards against memory that grows with all organisations there ever were.
TEST_CASE_FIXTURE(fixture, "an idle organisation is forgotten") {
  Wait("o", 1);
  Grant("near", 1);
  CHECK(TakeAll("o") == 1);
  credits.SetWaiting(Id("o"), 0);
  now += 61s;
  credits.Tick(now);
  CHECK(credits.StateOf(Id("o"), now) == quota_state::kUnknown);
}

TEST_CASE_FIXTURE(fixture, "the members of a newer view are asked") {
  Wait("o", 1);
  Grant("near", 0, 60s);
  credits.SetMembers({"new", "near"});
  CHECK_FALSE(credits.MakeRequest("beside", now));
  Grant("new", 1);
  CHECK(credits.Take(Id("o"), now)->member == "new");
}

}  // namespace
}  // namespace daisywind::history
