#include <doctest/doctest.h>

#include <iterator>
#include <memory>
#include <string>
#include <vector>

#include "configuration/storage.h"
#include "fake_fleet.h"
#include "patch_clients.h"
#include "sample_document.h"

namespace daisywind::configuration {
namespace {

constexpr auto kNodes = std::size_t{8};

auto MakeFleet(std::uint64_t seed = 1) -> std::unique_ptr<fake_fleet> {
  auto fleet = std::make_unique<fake_fleet>(kNodes, 3, seed);
  fleet->Initialize(SampleDocument());
  fleet->StartAll();
  REQUIRE(fleet->RunUntil([&] { return fleet->AllHave(1); }, 10s));
  fleet->Run(3s);
  return fleet;
}

using fault = void (*)(fake_fleet&, random_source&);

auto StopService(fake_fleet& fleet, random_source& /*random*/) -> void {
  fleet.faults.is_service_down = true;
}

auto SlowService(fake_fleet& fleet, random_source& /*random*/) -> void {
  fleet.faults.service_delay = 900ms;
}

auto LoseAnswers(fake_fleet& fleet, random_source& /*random*/) -> void {
  fleet.faults.answer_loss = 0.4;
}

auto LoseMessages(fake_fleet& fleet, random_source& /*random*/) -> void {
  fleet.faults.message_loss = 0.3;
}

auto PauseNode(fake_fleet& fleet, random_source& random) -> void {
  fleet.Pause(random.UniformBelow(kNodes));
}

auto PartitionNode(fake_fleet& fleet, random_source& random) -> void {
  fleet.At(random.UniformBelow(kNodes)).partition = 1;
}

auto CutNodeFromService(fake_fleet& fleet, random_source& random) -> void {
  fleet.At(random.UniformBelow(kNodes)).reaches_service = false;
}

auto RestartNode(fake_fleet& fleet, random_source& random) -> void {
  const auto node = random.UniformBelow(kNodes);
  fleet.Kill(node);
  fleet.Run(200ms);
  fleet.Start(node);
}

constexpr fault kFaults[] = {StopService,        SlowService, LoseAnswers,
                             LoseMessages,       PauseNode,   PartitionNode,
                             CutNodeFromService, RestartNode};

auto InjectFault(fake_fleet& fleet, random_source& random) -> void {
  kFaults[random.UniformBelow(std::size(kFaults))](fleet, random);
}

auto Heal(fake_fleet& fleet) -> void {
  fleet.faults = {};
  for (auto i = std::size_t{0}; i < kNodes; ++i) {
    fleet.At(i).partition = 0;
    fleet.At(i).reaches_service = true;
    if (fleet.At(i).is_paused) {
      fleet.Resume(i);
    }
  }
}

}  // namespace

TEST_CASE("an isolated VM keeps its version and reports that it is stale") {
  auto fleet = MakeFleet();
  fleet->At(3).partition = 1;
  fleet->At(3).reaches_service = false;
  fleet->PatchAndWait(0, 1, "p1", CapacityPatch(9));
  fleet->Run(60s);
  CHECK(fleet->At(3).system->Number() == 1);
  CHECK(fleet->At(3).system->IsStale(fleet->Now()));
  CHECK_FALSE(fleet->At(0).system->IsStale(fleet->Now()));
  fleet->At(3).partition = 0;
  CHECK(fleet->RunUntil([&] { return fleet->AllHave(2); }, 14s));
  fleet->Run(10s);
  CHECK_FALSE(fleet->At(3).system->IsStale(fleet->Now()));
}

TEST_CASE("a VM isolated from its peers gets new versions from the service") {
  auto fleet = MakeFleet();
  fleet->At(3).partition = 1;
  fleet->Run(15s);
  fleet->PatchAndWait(0, 1, "p1", CapacityPatch(9));
  CHECK(fleet->RunUntil([&] { return fleet->AllHave(2); }, 14s));
}

TEST_CASE("new versions are accepted and distributed after a service outage") {
  auto fleet = MakeFleet();
  fleet->faults.is_service_down = true;
  fleet->Run(300s);
  CHECK(fleet->AllHave(1));
  CHECK(fleet->At(0).system->IsStale(fleet->Now()));
  fleet->faults.is_service_down = false;
  CHECK(fleet->PatchAndWait(0, 1, "p1", CapacityPatch(9)) ==
        patch_result(patch_accepted{2}));
  CHECK(fleet->RunUntil([&] { return fleet->AllHave(2); }, 14s));
}

TEST_CASE("a slow service still accepts patches") {
  auto fleet = MakeFleet();
  fleet->faults.service_delay = 800ms;
  CHECK(fleet->PatchAndWait(0, 1, "p1", CapacityPatch(9)) ==
        patch_result(patch_accepted{2}));
  CHECK(fleet->RunUntil([&] { return fleet->AllHave(2); }, 14s));
}

TEST_CASE(
    "the newest version is written back to a service restored from a backup") {
  auto fleet = MakeFleet();
  const auto backup = fleet->service;
  fleet->PatchAndWait(0, 1, "p1", CapacityPatch(9));
  fleet->PatchAndWait(0, 2, "p2", CapacityPatch(10));
  REQUIRE(fleet->RunUntil([&] { return fleet->AllHave(3); }, 14s));
  fleet->service = backup;
  fleet->Run(20s);
  const auto response = fleet->service.Execute(HeadRequest(""));
  CHECK(ReadHeadState(response).value().head->info.ref.number == 3);
  CHECK(fleet->reversions == 0);
  CHECK(fleet->PatchAndWait(1, 3, "p3", CapacityPatch(11)) ==
        patch_result(patch_accepted{4}));
  CHECK(fleet->RunUntil([&] { return fleet->AllHave(4); }, 14s));
}

TEST_CASE("a VM resumed with outdated messages does not revert its version") {
  auto fleet = MakeFleet();
  const auto id = fleet->Patch(3, 1, "old", CapacityPatch(30));
  fleet->Pause(3);
  fleet->PatchAndWait(0, 1, "p1", CapacityPatch(9));
  fleet->PatchAndWait(1, 2, "p2", CapacityPatch(10));
  fleet->Run(40s);
  fleet->Resume(3);
  fleet->Run(20s);
  CHECK(fleet->AllHave(3));
  CHECK(fleet->reversions == 0);
  REQUIRE(fleet->patch_replies.contains(id));
  CHECK_FALSE(
      std::holds_alternative<patch_accepted>(fleet->patch_replies.at(id)));
}

TEST_CASE(
    "of 1,000 concurrent patches with message loss, none is lost or doubled") {
  constexpr auto kPatches = std::size_t{1000};
  constexpr auto kRacers = std::size_t{4};
  auto fleet = MakeFleet(5);
  fleet->faults.call_loss = 0.05;
  fleet->faults.answer_loss = 0.15;
  fleet->faults.message_loss = 0.1;
  auto random = random_source(9);
  auto operators = patch_clients(*fleet, random, kNodes);
  for (auto sent = std::size_t{0}; sent < kPatches; sent += kRacers) {
    operators.Race(kRacers);
    if (random.UniformBelow(5) == 0) {
      const auto node = random.UniformBelow(kNodes);
      fleet->Kill(node);
      fleet->Run(100ms);
      fleet->Start(node);
    }
    operators.RunUntilAllResolved();
  }
  fleet->faults = {};
  fleet->Run(20s);
  const auto stored = CheckedHistory(*fleet);
  CHECK(operators.accepted() == stored);
  CHECK(stored.size() >= kPatches / kRacers / 2);
  CHECK(fleet->reversions == 0);
  CHECK(fleet->AllHave(stored.size() + 1));
  MESSAGE("accepted " << stored.size() << ", resent " << operators.resends());
}

TEST_CASE("combined and repeated faults lose, double and revert no version") {
  constexpr auto kSteps = 30;
  for (const auto seed : {1U, 2U, 3U, 4U, 5U, 6U, 7U, 8U}) {
    auto fleet = MakeFleet(seed);
    auto random = random_source(seed);
    auto operators = patch_clients(*fleet, random, kNodes);
    for (auto step = 0; step < kSteps; ++step) {
      InjectFault(*fleet, random);
      InjectFault(*fleet, random);
      operators.Race(3);
      fleet->Run(random.UniformBelow(20) * duration(1s));
      operators.ResolveAnswered();
      if (step % 3 == 2) {
        Heal(*fleet);
      }
    }
    Heal(*fleet);
    operators.RunUntilAllResolved();
    fleet->Run(20s);
    const auto stored = CheckedHistory(*fleet);
    CHECK(operators.accepted() == stored);
    CHECK(fleet->reversions == 0);
    CHECK(fleet->AllHave(stored.size() + 1));
    MESSAGE("seed " << seed << ": accepted " << stored.size() << ", resent "
                    << operators.resends());
  }
}

}  // namespace daisywind::configuration
