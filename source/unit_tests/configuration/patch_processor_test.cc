#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>

#include "fake_fleet.h"
#include "sample_document.h"

namespace daisywind::configuration {
namespace {

constexpr auto kNodes = std::size_t{3};

auto CapacityPatch(std::int64_t capacity) -> std::string {
  return R"({"endpoints":{"agent-1":{"capacity":)" + std::to_string(capacity) +
         "}}}";
}

auto MakeFleet(std::uint64_t seed = 1) -> std::unique_ptr<fake_fleet> {
  auto fleet = std::make_unique<fake_fleet>(kNodes, 2, seed);
  fleet->Initialize(SampleDocument());
  fleet->StartAll();
  REQUIRE(fleet->RunUntil([&] { return fleet->AllHave(1); }, 10s));
  return fleet;
}

auto CapacityOf(const document& value) -> std::int64_t {
  return value.endpoints.at(endpoint_id("agent-1")).capacity;
}

}  // namespace

TEST_CASE(
    "a patch of the newest version is accepted and installed on all VMs") {
  auto fleet = MakeFleet();
  CHECK(fleet->PatchAndWait(0, 1, "p1", CapacityPatch(9)) ==
        patch_result(patch_accepted{2}));
  REQUIRE(fleet->RunUntil([&] { return fleet->AllHave(2); }, 5s));
  for (auto i = std::size_t{0}; i < kNodes; ++i) {
    CHECK(CapacityOf(*fleet->At(i).system->Document()) == 9);
  }
}

TEST_CASE(
    "the loser of two concurrent patches gets the current version and paths") {
  auto fleet = MakeFleet();
  const auto a = fleet->Patch(0, 1, "p1", CapacityPatch(9));
  const auto b = fleet->Patch(1, 1, "p2", CapacityPatch(10));
  fleet->RunUntil([&] { return fleet->patch_replies.size() == 2; }, 20s);
  const auto conflict =
      patch_result(patch_conflict{2, {"/endpoints/agent-1/capacity"}});
  const auto accepted = patch_result(patch_accepted{2});
  const auto results = std::set<patch_result>{fleet->patch_replies.at(a),
                                              fleet->patch_replies.at(b)};
  CHECK(results == std::set<patch_result>{accepted, conflict});
}

TEST_CASE("a patch whose result fails validation is rejected with the path") {
  auto fleet = MakeFleet();
  const auto refused = fleet->PatchAndWait(
      0, 1, "p1", R"({"endpoints":{"agent-1":{"role":"empty"}}})");
  REQUIRE(std::holds_alternative<patch_invalid>(refused));
  CHECK(std::get<patch_invalid>(refused).error.path == "/need/agent");
  const auto broken = fleet->PatchAndWait(0, 1, "p2", "{");
  CHECK(std::holds_alternative<patch_invalid>(broken));
  const auto bad_id = fleet->PatchAndWait(0, 1, "p/2", "{}");
  CHECK(std::holds_alternative<patch_invalid>(bad_id));
  CHECK(fleet->At(0).system->Number() == 1);
}

TEST_CASE("a retry of an accepted patch is recognised on any VM") {
  auto fleet = MakeFleet();
  fleet->faults.answer_loss = 1;
  const auto lost = fleet->PatchAndWait(0, 1, "p1", CapacityPatch(9));
  // Not even the first read is answered, so no accept transaction was sent.
  CHECK(lost == patch_result(patch_unavailable{false}));
  fleet->faults.answer_loss = 0;
  const auto id = fleet->Patch(0, 1, "p2", CapacityPatch(9));
  const auto is_stored = [&] {
    return fleet->service.Find("daisywind/config/patch/p2") != nullptr;
  };
  REQUIRE(fleet->RunUntil(is_stored, 5s));
  fleet->Kill(0);
  CHECK_FALSE(fleet->patch_replies.contains(id));
  CHECK(fleet->PatchAndWait(1, 1, "p2", CapacityPatch(9)) ==
        patch_result(patch_accepted{2}));
  CHECK(fleet->PatchAndWait(2, 1, "p2", CapacityPatch(9)) ==
        patch_result(patch_accepted{2}));
  REQUIRE(fleet->RunUntil([&] { return fleet->AllHave(2); }, 10s));
  CHECK(fleet->At(1).system->Number() == 2);
}

TEST_CASE("a patch fails as certainly not accepted while the service is down") {
  auto fleet = MakeFleet();
  fleet->faults.is_service_down = true;
  CHECK(fleet->PatchAndWait(0, 1, "p1", CapacityPatch(9)) ==
        patch_result(patch_unavailable{false}));
  CHECK(fleet->At(0).system->Number() == 1);
  fleet->faults.is_service_down = false;
  CHECK(fleet->PatchAndWait(0, 1, "p1", CapacityPatch(9)) ==
        patch_result(patch_accepted{2}));
}

TEST_CASE("a patch with an unknown outcome is reported as possibly accepted") {
  auto fleet = MakeFleet();
  const auto id = fleet->Patch(0, 1, "p1", CapacityPatch(9));
  const auto is_stored = [&] {
    return fleet->service.Find("daisywind/config/patch/p1") != nullptr;
  };
  REQUIRE(fleet->RunUntil(is_stored, 5s));
  fleet->At(0).reaches_service = false;
  fleet->faults.is_service_down = true;
  // The answer to the accept transaction is in transit; discarding the events
  // of the paused VM loses it.
  fleet->Pause(0);
  fleet->Run(1s);
  fleet->At(0).deferred_events.clear();
  fleet->Resume(0);
  fleet->RunUntil([&] { return fleet->patch_replies.contains(id); }, 30s);
  CHECK(fleet->patch_replies.at(id) == patch_result(patch_unavailable{true}));
}

TEST_CASE("history and earlier versions can be read") {
  auto fleet = MakeFleet();
  for (auto i = 1; i <= 5; ++i) {
    fleet->PatchAndWait(0, static_cast<version_number>(i),
                        "p" + std::to_string(i), CapacityPatch(20 + i));
  }
  fleet->RunUntil([&] { return fleet->AllHave(6); }, 10s);
  fleet->Post(1, version_requested{901, 3});
  fleet->Post(1, version_requested{902, 99});
  fleet->Post(1, history_requested{903, 3});
  fleet->RunUntil(
      [&] {
        return fleet->version_replies.size() == 2 &&
               fleet->history_replies.size() == 1;
      },
      10s);
  REQUIRE(fleet->version_replies.at(901).outcome == query_outcome::kFound);
  CHECK(CapacityOf(*fleet->version_replies.at(901).content) == 22);
  CHECK(fleet->version_replies.at(902).outcome == query_outcome::kNotFound);
  const auto& entries = fleet->history_replies.at(903).entries;
  REQUIRE(entries.size() == 3);
  CHECK(entries.back().info.ref.number == 6);
  CHECK(entries.back().info.patch_id == "p5");
  CHECK(entries.back().paths ==
        std::vector<std::string>{"/endpoints/agent-1/capacity"});
}

}  // namespace daisywind::configuration
