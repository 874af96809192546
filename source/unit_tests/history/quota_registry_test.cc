#include "history/quota_registry.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <limits>
#include <string>
#include <utility>
#include <vector>

#include "common/random.h"

namespace daisywind::history {
namespace {

constexpr auto kStart = instant(100s);
constexpr auto kWindow = duration(5s);

// A member that adds nothing to the bursts, so that grants follow from the
// limit alone.
auto ExactMember() -> quota_registry {
  auto options = quota_registry_options{};
  options.extra_burst = 0;
  return quota_registry(kStart, options);
}

auto Demand(const request_limit& limit,
            std::uint32_t wanted,
            std::uint32_t returned = 0,
            const char* organisation = "o") -> quota_demand {
  return {organisation_id(organisation), limit, wanted, returned};
}

// Asks for requests of one organisation.
auto Ask(quota_registry& member,
         const quota_demand& demand,
         std::size_t members,
         instant now) -> quota_grant {
  auto request = quota_request{};
  request.demands.push_back(demand);
  auto reply = member.Handle(request, members, now);
  REQUIRE(reply.grants.size() == 1);
  CHECK(reply.grants[0].organisation == demand.organisation);
  CHECK(reply.grants[0].granted <= demand.wanted);
  return reply.grants[0];
}

// What several members grant together.
class cluster {
 public:
  cluster(std::size_t members, request_limit limit) : limit(limit) {
    for (auto i = std::size_t{0}; i < members; ++i) {
      view.push_back(spare.size());
      spare.push_back(ExactMember());
    }
  }

  auto AskMember(std::size_t index, std::uint32_t wanted, instant now)
      -> std::uint32_t {
    const auto granted =
        Ask(spare[view[index]], Demand(limit, wanted), view.size(), now)
            .granted;
    grants.emplace_back(now, granted);
    while (now - grants.front().first > kWindow) {
      grants.pop_front();
    }
    return granted;
  }

  [[nodiscard]] auto GrantedInWindow() const -> std::uint32_t {
    auto sum = std::uint32_t{0};
    for (const auto& item : grants) {
      sum += item.second;
    }
    return sum;
  }

  // All processes, and those that are members, by index.
  std::vector<quota_registry> spare;
  std::vector<std::size_t> view;
  request_limit limit;
  std::deque<std::pair<instant, std::uint32_t>> grants;
};

// What all members together may grant in one window. A bucket has room for at
// least one request, however small its share of the burst is.
auto MostInWindow(const request_limit& limit, std::size_t members) -> double {
  const auto burst = std::max(double(members), limit.burst);
  return limit.per_second * 5.0 + burst;
}

// Guards against a limit that is exceeded by demands which come in bursts, at
// one member or at all.
TEST_CASE("all members together stay within the limit in every window") {
  for (auto seed = std::uint64_t{1}; seed <= 40; ++seed) {
    CAPTURE(seed);
    auto random = random_source(seed);
    const auto members = std::size_t{1} + random.UniformBelow(7);
    const auto limit =
        request_limit{1, random.Exponential(40.0), random.Exponential(100.0)};
    auto all = cluster(members, limit);
    auto now = kStart;
    auto granted = std::uint64_t{0};
    for (auto i = 0; i < 3000; ++i) {
      // Mostly close together, with long pauses between.
      const auto pause = random.UniformBelow(50) == 0 ? 8.0 : 0.02;
      now += std::chrono::duration_cast<duration>(
          std::chrono::duration<double>(random.Exponential(pause)));
      granted += all.AskMember(
          random.UniformBelow(members),
          static_cast<std::uint32_t>(random.UniformBelow(60)), now);
      REQUIRE(all.GrantedInWindow() <= MostInWindow(limit, members) + 1e-6);
    }
    CHECK(granted > 0);
  }
}

// Guards against refusals below the limit.
TEST_CASE("a steady demand gets the whole rate") {
  const auto limit = request_limit{1, 50, 20};
  auto all = cluster(5, limit);
  auto granted = std::uint32_t{0};
  auto now = kStart + 60s;
  const auto end = now + 20s;
  while (now < end) {
    now += 10ms;
    for (auto i = std::size_t{0}; i < 5; ++i) {
      granted += all.AskMember(i, 10, now);
    }
  }
  // The full buckets at the beginning, and the rate over 20 s.
  CHECK(granted >= 1015);
  CHECK(granted <= 1020);
}

TEST_CASE("a member without a request left says when it will have one") {
  auto member = ExactMember();
  const auto limit = request_limit{1, 10, 20};
  const auto now = kStart + 60s;
  CHECK(Ask(member, Demand(limit, 30), 2, now).granted == 10);
  const auto empty = Ask(member, Demand(limit, 1), 2, now);
  CHECK(empty.granted == 0);
  CHECK(empty.retry_after == 200ms);
  CHECK(Ask(member, Demand(limit, 1), 2, now + empty.retry_after).granted == 1);
}

// Guards against a restart that grants what was granted before it again.
TEST_CASE("a member starts with empty buckets that fill at its rate") {
  const auto limit = request_limit{1, 10, 1000};
  auto member = ExactMember();
  CHECK(Ask(member, Demand(limit, 50), 2, kStart).granted == 0);
  CHECK(Ask(member, Demand(limit, 50), 2, kStart + 2s).granted == 10);
  // Nobody has asked about this one: it has filled meanwhile.
  CHECK(Ask(member, Demand(limit, 50, 0, "other"), 2, kStart + 4s).granted ==
        20);
}

// Guards against a view change that lets the members that come in grant full
// buckets beside those that the members before them have granted.
TEST_CASE("members that replace others grant no burst again") {
  for (const auto replaced : {std::size_t{1}, std::size_t{2}, std::size_t{5}}) {
    CAPTURE(replaced);
    const auto limit = request_limit{1, 1, 500};
    auto all = cluster(5, limit);
    for (auto i = std::size_t{0}; i < replaced; ++i) {
      // Has been running for as long as the members.
      all.spare.push_back(ExactMember());
    }
    const auto now = kStart + 3600s;
    auto granted = std::uint32_t{0};
    for (auto i = std::size_t{0}; i < 5; ++i) {
      granted += all.AskMember(i, 1000, now);
    }
    CHECK(granted == 500);
    for (auto i = std::size_t{0}; i < replaced; ++i) {
      all.view[i] = 5 + i;
      all.spare[5 + i].OnJoined(now + 1s);
    }
    for (auto i = std::size_t{0}; i < 5; ++i) {
      all.AskMember(i, 1000, now + 2s);
    }
    CHECK(all.GrantedInWindow() <= MostInWindow(limit, 5));
  }
}

// Guards against a member that comes back into the view with what its bucket
// has gained while others granted its share.
TEST_CASE("a member that comes back starts with empty buckets") {
  auto member = ExactMember();
  const auto limit = request_limit{1, 10, 100};
  CHECK(Ask(member, Demand(limit, 5), 5, kStart + 60s).granted == 5);
  member.OnJoined(kStart + 100s);
  CHECK(Ask(member, Demand(limit, 50), 5, kStart + 100s).granted == 0);
  CHECK(Ask(member, Demand(limit, 50), 5, kStart + 101s).granted == 2);
}

TEST_CASE("shares are those of the members of the view") {
  auto member = ExactMember();
  const auto limit = request_limit{1, 10, 100};
  auto now = kStart + 60s;
  CHECK(Ask(member, Demand(limit, 1000), 5, now).granted == 20);
  // A view of fewer members gives no burst again, only the higher rate.
  CHECK(Ask(member, Demand(limit, 1000), 4, now).granted == 0);
  now += 4s;
  CHECK(Ask(member, Demand(limit, 1000), 4, now).granted == 10);
  now += 60s;
  CHECK(Ask(member, Demand(limit, 1000), 4, now).granted == 25);
}

TEST_CASE("a VM that is no member grants nothing") {
  auto member = ExactMember();
  const auto grant = Ask(member, Demand({1, 10, 100}, 5), 0, kStart + 60s);
  CHECK(grant.granted == 0);
  CHECK(grant.retry_after > 0s);
  CHECK(member.size() == 0);
}

// Guards against a limit that is in force as long as any front still has the
// configuration before it.
TEST_CASE("the newest version of a limit counts") {
  auto member = ExactMember();
  const auto before = request_limit{7, 100, 1000};
  const auto lowered = request_limit{8, 10, 20};
  auto now = kStart + 60s;
  CHECK(Ask(member, Demand(before, 100), 1, now).granted == 100);
  CHECK(Ask(member, Demand(lowered, 100), 1, now).granted == 20);
  // A front that lags behind.
  now += 1s;
  CHECK(Ask(member, Demand(before, 100), 1, now).granted == 10);
  const auto raised = request_limit{9, 40, 20};
  now += 500ms;
  CHECK(Ask(member, Demand(raised, 100), 1, now).granted == 20);
}

TEST_CASE("returned requests are granted again, up to the burst") {
  auto member = ExactMember();
  const auto limit = request_limit{1, 10, 100};
  auto now = kStart + 60s;
  CHECK(Ask(member, Demand(limit, 100), 1, now).granted == 100);
  CHECK(Ask(member, Demand(limit, 0, 30), 1, now).granted == 0);
  CHECK(Ask(member, Demand(limit, 100), 1, now).granted == 30);
  CHECK(Ask(member, Demand(limit, 0, 4'000'000'000U), 1, now).granted == 0);
  CHECK(Ask(member, Demand(limit, 1000), 1, now).granted == 100);
}

// Guards against limits whose arithmetic overflows, and against members that
// grant without bound because of them.
TEST_CASE("limits that are no valid numbers grant nothing") {
  constexpr auto kInfinity = std::numeric_limits<double>::infinity();
  constexpr auto kNan = std::numeric_limits<double>::quiet_NaN();
  auto member = ExactMember();
  const auto now = kStart + 60s;
  for (const auto& limit :
       {request_limit{1, 0, 10}, request_limit{1, -1, 10},
        request_limit{1, 10, -1}, request_limit{1, kNan, 10},
        request_limit{1, 10, kNan}, request_limit{1, kInfinity, 10},
        request_limit{1, 10, kInfinity}}) {
    const auto grant = Ask(member, Demand(limit, 5), 1, now);
    CHECK(grant.granted == 0);
    CHECK(grant.retry_after > 0s);
  }
  CHECK(member.size() == 0);
}

TEST_CASE("very small and very large limits stay in range") {
  constexpr auto kMax = std::numeric_limits<double>::max();
  constexpr auto kMin = std::numeric_limits<double>::denorm_min();
  constexpr auto kAll = std::numeric_limits<std::uint32_t>::max();
  auto member = ExactMember();
  const auto now = kStart + 60s;
  const auto rare = Ask(member, Demand({1, kMin, 0}, 5), 3, now);
  CHECK(rare.granted == 0);
  CHECK(rare.retry_after > 0s);
  CHECK(rare.retry_after <= 3600s);
  const auto often =
      Ask(member, Demand({1, kMax, kMax}, kAll, 0, "often"), 3, now);
  CHECK(often.granted == kAll);
}

// Guards against memory that grows with all organisations there ever were.
TEST_CASE("limits that nobody asks about are forgotten") {
  auto member = ExactMember();
  for (auto i = 0; i < 1000; ++i) {
    Ask(member, Demand({1, 10, 10}, 1, 0, std::to_string(i).c_str()), 1,
        kStart);
  }
  CHECK(member.size() == 1000);
  Ask(member, Demand({1, 10, 10}, 1), 1, kStart + 61s);
  Ask(member, Demand({1, 10, 10}, 1), 1, kStart + 122s);
  CHECK(member.size() == 1);
}

// Guards against a burst that is granted twice because its bucket was forgotten
// before it was full again.
TEST_CASE("a forgotten bucket has not filled faster than its rate") {
  auto member = ExactMember();
  const auto limit = request_limit{1, 0.1, 100};
  auto now = kStart + 3600s;
  CHECK(Ask(member, Demand(limit, 200), 1, now).granted == 100);
  // The first request starts the clean-up, the second one runs after it.
  now += 61s;
  Ask(member, Demand(limit, 0, 0, "other"), 1, now);
  now += 62s;
  Ask(member, Demand(limit, 0, 0, "other"), 1, now);
  CHECK(Ask(member, Demand(limit, 200), 1, now).granted <= 12);
}

// Guards against bursts of small organisations that are refused because one
// member holds less than one program's calls, and against an addition that
// grows with the members.
TEST_CASE("a member grants the calls that one program makes at once") {
  for (const auto members : {1U, 3U, 5U, 7U}) {
    CAPTURE(members);
    const auto limit = request_limit{1, 5, 5};
    auto granted = 0U;
    for (auto i = 0U; i < members; ++i) {
      auto member = quota_registry(kStart);
      granted += Ask(member, Demand(limit, 100), members, kStart + 60s).granted;
    }
    CHECK(granted >= 14);
    CHECK(granted <= 20);
  }
}

}  // namespace
}  // namespace daisywind::history
