#include "dispatch/placement.h"

#include <doctest/doctest.h>

#include <map>
#include <optional>
#include <string>

#include "common/endpoint_key.h"
#include "dispatch/home_ranking.h"

namespace daisywind::dispatch {
namespace {

constexpr auto kNow = instant(100s);

struct fixture {
  fixture() {
    here.failure_domain = failure_domain_id("near");
    here.region = region_id("r1");
    here.regions = {{failure_domain_id("near"), region_id("r1")},
                    {failure_domain_id("beside"), region_id("r1")},
                    {failure_domain_id("far"), region_id("r2")}};
    request.service = service_id("s");
  }

  auto Add(const char* id, const char* domain) -> endpoint_id {
    auto entry = endpoint{};
    entry.id = endpoint_id(id);
    entry.service = service_id("s");
    entry.address = "10.0.0.1:80";
    entry.failure_domain = failure_domain_id(domain);
    entry.slots = 4;
    table.Put(entry, kNow - 10s);
    return entry.id;
  }

  auto Chosen() -> std::string {
    const auto choice = Place(table, request, here, {}, kNow, random);
    return choice ? choice->endpoint.value : "";
  }

  endpoint_table table{endpoint_options{}};
  placement_request request;
  location here;
  random_source random{7};
};

TEST_CASE_FIXTURE(fixture, "no endpoint is chosen when none is usable") {
  CHECK(Chosen().empty());
  const auto id = Add("a", "near");
  request.excluded.insert(id);
  CHECK(Chosen().empty());
}

TEST_CASE_FIXTURE(fixture,
                  "an endpoint that has said it leaves gets no request") {
  const auto id = Add("a", "near");
  table.SetLeaving(table.Find(id)->entry, kNow);
  CHECK(Chosen().empty());
  // Nor for a turn whose chain it has cached.
  request.is_engine = true;
  request.prompt_tokens = 100;
  request.cached_tokens.emplace(id, 100);
  CHECK(Chosen().empty());
}

TEST_CASE_FIXTURE(fixture, "a draining endpoint gets no request") {
  const auto id = Add("a", "near");
  auto entry = table.Find(id)->entry;
  entry.is_draining = true;
  table.Put(entry, kNow);
  CHECK(Chosen().empty());
}

TEST_CASE_FIXTURE(fixture, "endpoints of equal cost share the requests") {
  Add("a", "near");
  Add("b", "near");
  Add("c", "near");
  auto counts = std::map<std::string, int>{};
  for (auto i = 0; i < 3000; ++i) {
    ++counts[Chosen()];
  }
  for (const auto* id : {"a", "b", "c"}) {
    CHECK(counts[id] > 800);
  }
}

TEST_CASE_FIXTURE(fixture,
                  "nearer endpoints are preferred until they are loaded") {
  const auto near = Add("near", "near");
  Add("beside", "beside");
  Add("far", "far");
  CHECK(Chosen() == "near");
  for (auto i = 0; i < 3; ++i) {
    table.OnRequestSent(near, kNow);
  }
  CHECK(Chosen() == "beside");
}

TEST_CASE_FIXTURE(fixture,
                  "a farther endpoint is preferred to one without free slots") {
  const auto near = Add("near", "near");
  Add("far", "far");
  for (auto i = 0; i < 4; ++i) {
    table.OnRequestSent(near, kNow);
  }
  CHECK(Chosen() == "far");
}

TEST_CASE_FIXTURE(fixture,
                  "a paused endpoint is used only when all are paused") {
  const auto near = Add("near", "near");
  Add("far", "far");
  table.OnHealthSignal(near, health_signal::kFailed, kNow);
  CHECK(Chosen() == "far");
  table.OnHealthSignal(endpoint_id("far"), health_signal::kFailed, kNow);
  CHECK(Chosen() == "near");
}

// Guards against grey failures: an endpoint drops part of its requests and
// answers the others normally. A request that may run only once should rather
// wait a little at another endpoint.
TEST_CASE_FIXTURE(fixture,
                  "an endpoint with intermittent failures is avoided") {
  const auto grey = Add("grey", "near");
  const auto sound = Add("sound", "near");
  for (auto i = 0; i < 4; ++i) {
    table.OnRequestSent(sound, kNow);
  }
  CHECK(Chosen() == "grey");
  const auto failed_at = kNow - 500ms;
  table.OnSharedFailure(KeyOf(grey), failed_at);
  table.OnHealthSignal(grey, health_signal::kAnswered, kNow - 100ms);
  CHECK(Chosen() == "sound");
  request.may_repeat = true;
  CHECK(Chosen() == "grey");
}

TEST_CASE_FIXTURE(fixture,
                  "a turn goes to the engine that has its chain cached") {
  request.is_engine = true;
  request.prompt_tokens = 4000;
  const auto last = Add("a", "near");
  Add("b", "near");
  request.cached_tokens[last] = 3500;
  for (auto i = 0; i < 10; ++i) {
    CHECK(Chosen() == "a");
  }
}

// A session's prompt part keeps its id while it grows, so an engine that ran an
// early turn has only a small part of it cached.
TEST_CASE_FIXTURE(fixture, "the engine of the latest turn is preferred") {
  request.is_engine = true;
  const auto part = [](std::uint32_t tokens) {
    return std::vector<prompt_part>{{prompt_part_id("shared"), 2560},
                                    {prompt_part_id("session"), tokens}};
  };
  const auto early = Add("early", "near");
  const auto late = Add("late", "near");
  table.OnPromptProcessed(early, part(500));
  request.prompt = part(4400);
  request.prompt_tokens = 6960;
  // The latest turn came in through another VM, so the table knows nothing of
  // it.
  request.cached_tokens[late] = 6500;
  for (auto i = 0; i < 10; ++i) {
    CHECK(Chosen() == "late");
  }
  request.cached_tokens.clear();
  CHECK(table.MissingTokens(early, request.prompt) == 3900);
}

TEST_CASE_FIXTURE(fixture,
                  "a loaded engine is avoided when prefill is cheaper") {
  request.is_engine = true;
  request.prompt_tokens = 1000;
  const auto last = Add("a", "near");
  Add("b", "near");
  request.cached_tokens[last] = 1000;
  for (auto i = 0; i < 20; ++i) {
    table.OnRequestSent(last, kNow);
  }
  CHECK(Chosen() == "b");
}

// In a burst over many VMs, each VM gets a report of an engine only every few
// seconds; the newest is that of the engine that has just served the previous
// turn.
TEST_CASE_FIXTURE(fixture,
                  "an engine is not left for ones without recent reports") {
  request.is_engine = true;
  request.prompt_tokens = 2000;
  const auto last = Add("a", "near");
  for (const auto* id : {"b", "c", "d"}) {
    table.OnReport(Add(id, "near"), {12, 0, 16}, kNow - 2s);
  }
  Add("e", "near");
  table.OnReport(last, {14, 0, 16}, kNow);
  request.cached_tokens[last] = 2000;
  for (auto i = 0; i < 10; ++i) {
    CHECK(Chosen() == "a");
  }
}

// Between two reports, many VMs know the same loads. The engine that looks best
// must not get the requests of all of them.
TEST_CASE_FIXTURE(fixture, "VMs with the same load data choose differently") {
  request.is_engine = true;
  request.prompt_tokens = 1000;
  constexpr auto kEngines = 36;
  for (auto i = 0; i < kEngines; ++i) {
    const auto id = Add(("e" + std::to_string(i)).c_str(), "near");
    table.OnReport(id, {i == 0 ? 2U : 6U, 0, 16}, kNow);
  }
  auto counts = std::map<std::string, int>{};
  constexpr auto kRequests = 100 * kEngines;
  for (auto i = 0; i < kRequests; ++i) {
    ++counts[Chosen()];
  }
  // It gets twice its share, because it is sampled in one of 18 choices.
  CHECK(counts["e0"] > kRequests / kEngines);
  CHECK(counts["e0"] < 3 * kRequests / kEngines);
}

TEST_CASE_FIXTURE(fixture,
                  "an engine that has a shared part cached is preferred") {
  request.is_engine = true;
  request.prompt = {{prompt_part_id("shared"), 2560},
                    {prompt_part_id("own"), 500}};
  Add("a", "near");
  const auto warm = Add("b", "near");
  table.OnPromptProcessed(warm, {{prompt_part_id("shared"), 2560}});
  for (auto i = 0; i < 10; ++i) {
    CHECK(Chosen() == "b");
  }
}

TEST_CASE_FIXTURE(fixture, "an endpoint at its rate limit is not chosen") {
  const auto limited = Add("a", "near");
  Add("b", "far");
  // Not even when it has the chain of the request cached.
  request.cached_tokens[limited] = 10'000;
  table.SetRateLimit(limited, 2.0, 0.5, kNow - 500ms);
  for (auto i = 0; i < 20; ++i) {
    CHECK(Chosen() == "b");
  }
  request.excluded.insert(endpoint_id("b"));
  CHECK(Chosen().empty());
}

// A program whose prompt is not known to be cached anywhere, on a service of
// twelve engines of one region.
struct home_fixture : fixture {
  home_fixture() {
    for (auto i = 0; i < kEngines; ++i) {
      const auto id = Add(("e" + std::to_string(i)).c_str(),
                          i % 2 == 0 ? "near" : "beside");
      table.OnReport(id, {4, 0, 16}, kNow);
    }
    request.is_engine = true;
    request.home_key = "program";
    request.prompt_growth = 600;
    SetOwnPart(3000);
  }

  auto SetOwnPart(std::uint32_t tokens) -> void {
    request.prompt = {{prompt_part_id("shared"), 2560},
                      {prompt_part_id("own"), tokens}};
    request.prompt_tokens = 2560 + std::uint64_t{tokens};
  }

  [[nodiscard]] auto Home(std::size_t rank = 0) const -> endpoint_id {
    return RankHomes(table.OfService(service_id("s")), here, request.home_key,
                     rank + 1)
        .at(rank)
        ->entry.id;
  }

  static constexpr auto kEngines = 12;
};

// Guards against turns that are sent to engines that have to read the whole
// prompt again.
TEST_CASE_FIXTURE(home_fixture,
                  "a program's turns go to its home while loads are alike") {
  const auto home = Home().value;
  for (auto i = 0; i < 50; ++i) {
    CHECK(Chosen() == home);
  }
  const auto choice = Place(table, request, here, {}, kNow, random);
  CHECK(choice->is_home);
  CHECK(choice->missing_tokens == 600);
  // Another front of the region, which is nearer to other engines.
  here.failure_domain = failure_domain_id("beside");
  for (auto i = 0; i < 50; ++i) {
    CHECK(Chosen() == home);
  }
}

// Guards against hot programs that queue at one engine while others are idle.
TEST_CASE_FIXTURE(home_fixture, "a full home is passed over") {
  const auto home = Home();
  table.OnReport(home, {16, 30, 16}, kNow);
  for (auto i = 0; i < 50; ++i) {
    CHECK(Chosen() != home.value);
  }
}

TEST_CASE_FIXTURE(home_fixture, "a home that can't be used is passed over") {
  const auto home = Home();
  SUBCASE("excluded") {
    request.excluded.insert(home);
  }
  SUBCASE("leaving") {
    table.SetLeaving(table.Find(home)->entry, kNow);
  }
  SUBCASE("paused") {
    table.OnHealthSignal(home, health_signal::kFailed, kNow);
  }
  for (auto i = 0; i < 50; ++i) {
    const auto choice = Place(table, request, here, {}, kNow, random);
    REQUIRE(choice);
    CHECK(choice->endpoint != home);
  }
}

// Guards against a first turn whose engine differs from that of the turns after
// it: every engine lacks its own part alike.
TEST_CASE_FIXTURE(home_fixture, "a program's first turn goes to its home") {
  SetOwnPart(500);
  for (auto i = 0; i < kEngines; ++i) {
    table.OnPromptProcessed(endpoint_id("e" + std::to_string(i)),
                            {{prompt_part_id("shared"), 2560}});
  }
  const auto home = Home().value;
  for (auto i = 0; i < 50; ++i) {
    CHECK(Chosen() == home);
  }
}

// The home has everything cached that this VM has sent there itself.
TEST_CASE_FIXTURE(home_fixture, "a home lacks no more than is known here") {
  table.OnPromptProcessed(Home(), {{prompt_part_id("shared"), 2560},
                                   {prompt_part_id("own"), 2900}});
  const auto choice = Place(table, request, here, {}, kNow, random);
  CHECK(choice->is_home);
  CHECK(choice->missing_tokens == 100);
}

// Until a growth is known, nothing is assumed to be cached.
TEST_CASE_FIXTURE(home_fixture, "without a mean growth a home lacks all") {
  request.prompt_growth = std::nullopt;
  table.OnReport(Home(), {4, 0, 16}, kNow);
  for (auto i = 0; i < 50; ++i) {
    const auto choice = Place(table, request, here, {}, kNow, random);
    CHECK(choice->missing_tokens == 5560);
  }
}

// Guards against homes for services and routes that have none.
TEST_CASE_FIXTURE(home_fixture, "a request without a key has no home") {
  request.home_key.clear();
  auto counts = std::map<std::string, int>{};
  for (auto i = 0; i < 600; ++i) {
    const auto choice = Place(table, request, here, {}, kNow, random);
    CHECK_FALSE(choice->is_home);
    ++counts[choice->endpoint.value];
  }
  // The engines of this VM's failure domain.
  CHECK(counts.size() == kEngines / 2);
}

// Guards against requests that wait at a machine that others slow down.
TEST_CASE_FIXTURE(fixture, "a slow machine is avoided") {
  const auto slow = Add("slow", "near");
  const auto usual = Add("usual", "near");
  SUBCASE("engine") {
    request.is_engine = true;
    request.prompt_tokens = 3000;
  }
  SUBCASE("plain endpoint") {
    request.is_engine = false;
  }
  table.OnReport(slow, {2, 0, 4, 4.0}, kNow);
  table.OnReport(usual, {2, 0, 4, 1.0}, kNow);
  for (auto i = 0; i < 50; ++i) {
    CHECK(Chosen() == "usual");
  }
  CHECK(Place(table, request, here, {}, kNow, random)->pace == 1.0);
  request.excluded.insert(usual);
  CHECK(Place(table, request, here, {}, kNow, random)->pace == 4.0);
}

// Guards against a slow machine that is avoided at any price.
TEST_CASE_FIXTURE(fixture, "a slow machine is better than a long queue") {
  const auto slow = Add("slow", "near");
  const auto full = Add("full", "near");
  request.is_engine = true;
  request.prompt_tokens = 500;
  table.OnReport(slow, {0, 0, 4, 1.5}, kNow);
  table.OnReport(full, {4, 30, 4, 1.0}, kNow);
  CHECK(Chosen() == "slow");
}

TEST_CASE_FIXTURE(fixture, "costs without paces are those of the usual pace") {
  const auto id = Add("a", "near");
  table.OnReport(id, {2, 1, 4}, kNow);
  const auto without = Place(table, request, here, {}, kNow, random);
  table.OnReport(id, {2, 1, 4, 1.0}, kNow);
  CHECK(Place(table, request, here, {}, kNow, random)->cost == without->cost);
}

}  // namespace
}  // namespace daisywind::dispatch
