#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "fake_fleet.h"
#include "sample_document.h"

namespace daisywind::configuration {
namespace {

constexpr auto kNodes = std::size_t{40};
constexpr auto kDomains = std::size_t{4};

auto CapacityPatch(std::int64_t capacity) -> std::string {
  return R"({"endpoints":{"agent-1":{"capacity":)" + std::to_string(capacity) +
         "}}}";
}

auto MakeFleet(std::uint64_t seed = 1) -> std::unique_ptr<fake_fleet> {
  auto fleet = std::make_unique<fake_fleet>(kNodes, kDomains, seed);
  fleet->Initialize(SampleDocument());
  fleet->StartAll();
  REQUIRE(fleet->RunUntil([&] { return fleet->AllHave(1); }, 10s));
  fleet->Run(3s);
  return fleet;
}

// Required upper bound for a version to be installed on every VM and reported
// as installed.
constexpr auto kInstallBound = duration(14s);

// The VMs reported as silent by a status query to one VM.
auto QuerySilent(fake_fleet& fleet, std::size_t asked) -> std::vector<member> {
  constexpr auto kQuery = request_id{77};
  fleet.status_replies.clear();
  fleet.Post(asked, status_requested{kQuery});
  REQUIRE(fleet.RunUntil([&] { return fleet.status_replies.contains(kQuery); },
                         5s));
  return fleet.status_replies.at(kQuery).silent;
}

}  // namespace

TEST_CASE("a version reaches all VMs within 14 s with two watches per domain") {
  auto fleet = MakeFleet();
  auto watches = std::size_t{0};
  for (auto i = std::size_t{0}; i < kNodes; ++i) {
    watches += fleet->At(i).watches.size();
  }
  CHECK(watches == 2 * kDomains);
  CHECK(fleet->PatchAndWait(0, 1, "p1", CapacityPatch(9)) ==
        patch_result(patch_accepted{2}));
  CHECK(fleet->RunUntil([&] { return fleet->AllHave(2); }, 14s));
  CHECK(fleet->reversions == 0);
}

TEST_CASE(
    "a version reaches all VMs although a third of the messages is lost") {
  auto fleet = MakeFleet();
  fleet->faults.message_loss = 0.33;
  fleet->PatchAndWait(0, 1, "p1", CapacityPatch(9));
  CHECK(fleet->RunUntil([&] { return fleet->AllHave(2); }, 14s));
}

TEST_CASE(
    "a version reaches all VMs through peers when the service fails at once") {
  auto fleet = MakeFleet();
  for (auto i = std::size_t{0}; i < kNodes; ++i) {
    fleet->At(i).watches.clear();
  }
  fleet->PatchAndWait(0, 1, "p1", CapacityPatch(9));
  fleet->faults.is_service_down = true;
  CHECK(fleet->RunUntil([&] { return fleet->AllHave(2); }, 14s));
}

TEST_CASE("the rate of service calls does not grow with the VMs per domain") {
  auto rates = std::vector<std::uint64_t>{};
  for (const auto nodes : {std::size_t{20}, std::size_t{80}}) {
    auto fleet = std::make_unique<fake_fleet>(nodes, kDomains, 3);
    fleet->Initialize(SampleDocument());
    fleet->StartAll();
    fleet->Run(20s);
    const auto before = fleet->Counters();
    fleet->Run(100s);
    const auto after = fleet->Counters();
    CHECK(after.kv_writes == before.kv_writes);
    rates.push_back(after.kv_reads - before.kv_reads);
  }
  CHECK(rates[1] <= rates[0] + rates[0] / 5);
}

TEST_CASE("other VMs take over when all watchers of a domain are killed") {
  auto fleet = MakeFleet();
  for (auto i = std::size_t{0}; i < kNodes; ++i) {
    if (!fleet->At(i).watches.empty()) {
      fleet->Kill(i);
    }
  }
  fleet->Run(15s);
  auto watches = std::size_t{0};
  for (auto i = std::size_t{0}; i < kNodes; ++i) {
    watches += fleet->At(i).watches.size();
  }
  CHECK(watches == 2 * kDomains);
}

TEST_CASE("status reports the version of each VM and the silent VMs") {
  auto fleet = MakeFleet();
  fleet->PatchAndWait(0, 1, "p1", CapacityPatch(9));
  REQUIRE(fleet->RunUntil([&] { return fleet->AllHave(2); }, 14s));
  fleet->Run(1s);
  fleet->Post(5, status_requested{77});
  REQUIRE(
      fleet->RunUntil([&] { return fleet->status_replies.contains(77); }, 5s));
  const auto& reply = fleet->status_replies.at(77);
  CHECK(reply.newest == 2);
  CHECK(reply.states.size() == kNodes);
  CHECK(reply.silent.empty());
  CHECK(std::all_of(reply.states.begin(), reply.states.end(),
                    [](const acknowledgement& state) {
                      return state.number == 2 && state.spread_ms >= 0 &&
                             state.proof_age_ms >= 0;
                    }));
}

TEST_CASE("status reports a VM whose first acknowledgement was lost") {
  auto fleet = MakeFleet();
  constexpr auto kNode = kNodes - 1;
  fleet->Kill(kNode);
  fleet->Run(1s);
  fleet->At(kNode).partition = 1;
  fleet->Start(kNode);
  REQUIRE(fleet->RunUntil(
      [&] { return fleet->At(kNode).system->Number() == 1; }, 30s));
  fleet->Run(1s);
  fleet->At(kNode).partition = 0;
  fleet->Run(kInstallBound);
  CHECK(QuerySilent(*fleet, 0).empty());
}

TEST_CASE(
    "status reports a VM that was temporarily absent from the member list") {
  auto fleet = MakeFleet();
  auto all = members_changed{};
  for (auto i = std::size_t{0}; i < kNodes; ++i) {
    all.members.push_back(fleet->At(i).self);
  }
  auto others = all;
  others.members.pop_back();
  const auto send_members = [&](const members_changed& change) {
    for (auto i = std::size_t{0}; i + 1 < kNodes; ++i) {
      fleet->Post(i, change);
    }
  };
  constexpr auto kAbsences = 10;
  for (auto i = 0; i < kAbsences; ++i) {
    send_members(others);
    fleet->Run(5s);
    send_members(all);
    CHECK(QuerySilent(*fleet, 0).empty());
  }
}

TEST_CASE("a new VM becomes ready only with the newest version") {
  auto fleet = MakeFleet();
  fleet->Kill(7);
  fleet->PatchAndWait(0, 1, "p1", CapacityPatch(9));
  fleet->Start(7);
  REQUIRE(fleet->RunUntil([&] { return fleet->At(7).system->IsReady(); }, 10s));
  CHECK(fleet->At(7).system->Number() == 2);
}

TEST_CASE("VMs that wait for version 1 become ready soon after it is written") {
  auto fleet = fake_fleet(6, 3, 1);
  fleet.StartAll();
  fleet.Run(12s);
  CHECK_FALSE(fleet.At(0).system->IsReady());
  fleet.Initialize(SampleDocument());
  fleet.Run(3s);
  for (auto i = std::size_t{0}; i < 6; ++i) {
    CHECK(fleet.At(i).system->IsReady());
    CHECK_FALSE(fleet.At(i).system->IsStale(fleet.Now()));
  }
}

TEST_CASE(
    "a new VM gets the newest version from peers while the service is down") {
  auto fleet = MakeFleet();
  fleet->Kill(7);
  fleet->PatchAndWait(0, 1, "p1", CapacityPatch(9));
  REQUIRE(fleet->RunUntil([&] { return fleet->AllHave(2); }, 14s));
  fleet->faults.is_service_down = true;
  fleet->Start(7);
  REQUIRE(fleet->RunUntil([&] { return fleet->At(7).system->IsReady(); }, 10s));
  CHECK(fleet->At(7).system->Number() == 2);
}

TEST_CASE("a new VM without peers and service never becomes ready") {
  auto fleet = MakeFleet();
  fleet->Kill(7);
  fleet->At(7).partition = 1;
  fleet->At(7).reaches_service = false;
  fleet->Start(7);
  fleet->Run(60s);
  CHECK_FALSE(fleet->At(7).system->IsReady());
  CHECK(fleet->At(7).system->IsStale(fleet->Now()));
}

}  // namespace daisywind::configuration
