#include "dispatch/home_ranking.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "common/random.h"

namespace daisywind::dispatch {
namespace {

constexpr auto kNow = instant(100s);
constexpr auto kPrograms = 500;
constexpr auto kEngines = 10;

using id_list = std::vector<std::string>;

auto Here(const char* domain, const char* region) -> location {
  auto here = location{};
  here.failure_domain = failure_domain_id(domain);
  here.region = region_id(region);
  here.regions = {{failure_domain_id("d1"), region_id("r1")},
                  {failure_domain_id("d2"), region_id("r1")},
                  {failure_domain_id("d3"), region_id("r2")}};
  return here;
}

auto Engine(const std::string& id, const char* domain) -> endpoint {
  auto entry = endpoint{};
  entry.id = endpoint_id(id);
  entry.service = service_id("s");
  entry.address = "10.0.0.1:80";
  entry.failure_domain = failure_domain_id(domain);
  entry.slots = 4;
  return entry;
}

struct fixture {
  // Engines e0 to e9, in turn in the two domains of the first region.
  fixture() {
    for (auto i = 0; i < kEngines; ++i) {
      Add("e" + std::to_string(i), i % 2 == 0 ? "d1" : "d2");
    }
  }

  auto Add(const std::string& id, const char* domain) -> void {
    table.Put(Engine(id, domain), kNow);
  }

  auto Ranking(const location& here, int program, std::size_t count = 2) const
      -> id_list {
    auto ids = id_list{};
    for (const auto* state :
         RankHomes(table.OfService(service_id("s")), here,
                   "program" + std::to_string(program), count)) {
      ids.push_back(state->entry.id.value);
    }
    return ids;
  }

  auto AllFirsts() const -> id_list {
    auto firsts = id_list{};
    for (auto program = 0; program < kPrograms; ++program) {
      firsts.push_back(Ranking(Here("d1", "r1"), program).front());
    }
    return firsts;
  }

  endpoint_table table{endpoint_options{}};
};

// Guards against fronts that send the turns of one program to different
// engines, each of which would have to read the prompt.
TEST_CASE_FIXTURE(fixture, "all fronts of a region compute the same ranking") {
  // Another front has learned of the endpoints in another order.
  auto other = fixture();
  other.table = endpoint_table(endpoint_options{});
  for (auto i = kEngines - 1; i >= 0; --i) {
    other.Add("e" + std::to_string(i), i % 2 == 0 ? "d1" : "d2");
  }
  for (auto program = 0; program < kPrograms; ++program) {
    const auto ranking = Ranking(Here("d1", "r1"), program);
    REQUIRE(ranking.size() == 2);
    CHECK(ranking[0] != ranking[1]);
    CHECK(ranking == other.Ranking(Here("d2", "r1"), program));
  }
}

// Guards against a hash that gives most programs to a few engines.
TEST_CASE_FIXTURE(fixture, "programs spread over the engines") {
  const auto firsts = AllFirsts();
  for (auto i = 0; i < kEngines; ++i) {
    const auto share =
        std::count(firsts.begin(), firsts.end(), "e" + std::to_string(i));
    CHECK(share > kPrograms / kEngines / 2);
    CHECK(share < 2 * kPrograms / kEngines);
  }
}

// Guards against a release that moves programs of engines that stay, which
// would have all their prompts read again.
TEST_CASE_FIXTURE(fixture, "only the programs of a leaving engine move") {
  const auto before = AllFirsts();
  auto seconds = id_list{};
  for (auto program = 0; program < kPrograms; ++program) {
    seconds.push_back(Ranking(Here("d1", "r1"), program)[1]);
  }
  SUBCASE("that is draining") {
    auto entry = Engine("e3", "d2");
    entry.is_draining = true;
    table.Put(entry, kNow);
  }
  SUBCASE("that has said so") {
    table.SetLeaving(Engine("e3", "d2"), kNow);
  }
  SUBCASE("that is gone") {
    table.Remove(endpoint_id("e3"), false, kNow);
  }
  const auto after = AllFirsts();
  for (auto program = std::size_t{0}; program < before.size(); ++program) {
    CHECK(after[program] ==
          (before[program] == "e3" ? seconds[program] : before[program]));
  }
}

// Guards against an added engine that moves programs between the others.
TEST_CASE_FIXTURE(fixture, "an added engine only takes programs over") {
  const auto before = AllFirsts();
  Add("new", "d1");
  const auto after = AllFirsts();
  for (auto program = std::size_t{0}; program < before.size(); ++program) {
    CHECK((after[program] == before[program] || after[program] == "new"));
  }
}

// Guards against homes across the link between regions while the region has
// engines, and against none at all when it has not.
TEST_CASE_FIXTURE(fixture, "engines elsewhere count if the region has none") {
  for (auto program = 0; program < kPrograms; ++program) {
    CHECK(Ranking(Here("d3", "r2"), program) ==
          Ranking(Here("d1", "r1"), program));
  }
  Add("local", "d3");
  for (auto program = 0; program < kPrograms; ++program) {
    CHECK(Ranking(Here("d3", "r2"), program) == id_list{"local"});
    CHECK(Ranking(Here("d1", "r1"), program)[0] != "local");
  }
  table.SetLeaving(Engine("local", "d3"), kNow);
  CHECK(Ranking(Here("d3", "r2"), 1) == Ranking(Here("d1", "r1"), 1));
}

TEST_CASE_FIXTURE(fixture,
                  "a ranking is at most as long as there are engines") {
  CHECK(Ranking(Here("d1", "r1"), 1, 0).empty());
  CHECK(Ranking(Here("d1", "r1"), 1, 99).size() == kEngines);
  CHECK(RankHomes({}, Here("d1", "r1"), "p", 2).empty());
}

}  // namespace
}  // namespace daisywind::dispatch
