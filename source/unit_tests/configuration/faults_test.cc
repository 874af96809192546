#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "configuration/storage.h"
#include "fake_fleet.h"
#include "sample_document.h"

namespace daisywind::configuration {
namespace {

constexpr auto kNodes = std::size_t{8};

auto CapacityPatch(std::int64_t capacity) -> std::string {
  return R"({"endpoints":{"agent-1":{"capacity":)" + std::to_string(capacity) +
         "}}}";
}

auto MakeFleet(std::uint64_t seed = 1) -> std::unique_ptr<fake_fleet> {
  auto fleet = std::make_unique<fake_fleet>(kNodes, 3, seed);
  fleet->Initialize(SampleDocument());
  fleet->StartAll();
  REQUIRE(fleet->RunUntil([&] { return fleet->AllHave(1); }, 10s));
  fleet->Run(3s);
  return fleet;
}

auto HistoryOf(fake_fleet& fleet) -> std::vector<history_entry> {
  const auto response = fleet.service.Execute(HistoryRequest(1));
  return ReadHistoryState(response).value().entries;
}

// Operators that send a patch again under its id until its end is known.
class patch_clients {
 public:
  patch_clients(fake_fleet& fleet, random_source& random)
      : fleet_(&fleet), random_(&random) {}

  auto Race(std::size_t racers) -> void {
    const auto base = fleet_->At(random_->Below(kNodes)).system->Number();
    for (auto i = std::size_t{0}; i < racers; ++i) {
      last_patch_ += 1;
      Send({"p" + std::to_string(last_patch_), base,
            static_cast<std::int64_t>(last_patch_)});
    }
  }

  auto RunUntilAllAreKnown() -> void {
    while (!open_.empty()) {
      fleet_->Run(11s);
      for (const auto& [id, item] : std::exchange(open_, {})) {
        Settle(id, item);
      }
    }
  }

  auto accepted() const -> const std::map<std::string, version_number>& {
    return accepted_;
  }
  auto repeats() const -> std::size_t { return repeats_; }

 private:
  struct patch {
    std::string name;
    version_number base = 0;
    std::int64_t capacity = 0;
  };

  auto Send(const patch& item) -> void {
    const auto node = random_->Below(kNodes);
    const auto id =
        fleet_->Patch(node, item.base, item.name, CapacityPatch(item.capacity));
    open_[id] = item;
  }

  // A patch without a reply was sent to a VM that has died.
  auto Settle(request_id id, const patch& item) -> void {
    const auto found = fleet_->patch_replies.find(id);
    const auto is_open =
        found == fleet_->patch_replies.end() ||
        std::holds_alternative<patch_unavailable>(found->second);
    if (is_open) {
      repeats_ += 1;
      Send(item);
    } else if (const auto* done = std::get_if<patch_accepted>(&found->second)) {
      accepted_[item.name] = done->number;
    }
  }

  fake_fleet* fleet_;
  random_source* random_;
  std::map<request_id, patch> open_;
  std::map<std::string, version_number> accepted_;
  std::size_t last_patch_ = 0;
  std::size_t repeats_ = 0;
};

}  // namespace

TEST_CASE("a VM cut off goes on with its version and says that it is stale") {
  auto fleet = MakeFleet();
  fleet->At(3).group = 1;
  fleet->At(3).reaches_service = false;
  fleet->PatchAndWait(0, 1, "p1", CapacityPatch(9));
  fleet->Run(60s);
  CHECK(fleet->At(3).system->Number() == 1);
  CHECK(fleet->At(3).system->IsStale(fleet->Now()));
  CHECK_FALSE(fleet->At(0).system->IsStale(fleet->Now()));
  fleet->At(3).group = 0;
  CHECK(fleet->RunUntil([&] { return fleet->AllHave(2); }, 14s));
  fleet->Run(10s);
  CHECK_FALSE(fleet->At(3).system->IsStale(fleet->Now()));
}

TEST_CASE("a VM cut off from its peers alone follows the service") {
  auto fleet = MakeFleet();
  fleet->At(3).group = 1;
  fleet->Run(15s);
  fleet->PatchAndWait(0, 1, "p1", CapacityPatch(9));
  CHECK(fleet->RunUntil([&] { return fleet->AllHave(2); }, 14s));
}

TEST_CASE("a service that was away is followed again when it is back") {
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

TEST_CASE("a service restored from an old copy gets the newest version back") {
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

TEST_CASE("a paused VM that returns with old messages does not revert") {
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

TEST_CASE("1,000 racing patches with lost answers: none lost, none doubled") {
  constexpr auto kPatches = std::size_t{1000};
  constexpr auto kRacers = std::size_t{4};
  auto fleet = MakeFleet(5);
  fleet->faults.lost_calls = 0.05;
  fleet->faults.lost_answers = 0.15;
  fleet->faults.lost_messages = 0.1;
  auto random = random_source(9);
  auto operators = patch_clients(*fleet, random);
  for (auto sent = std::size_t{0}; sent < kPatches; sent += kRacers) {
    operators.Race(kRacers);
    if (random.Below(5) == 0) {
      const auto node = random.Below(kNodes);
      fleet->Kill(node);
      fleet->Run(100ms);
      fleet->Start(node);
    }
    operators.RunUntilAllAreKnown();
  }
  fleet->faults = {};
  fleet->Run(20s);
  auto stored = std::map<std::string, version_number>{};
  auto number = version_number{0};
  for (const auto& line : HistoryOf(*fleet)) {
    number += 1;
    CHECK(line.info.ref.number == number);
    CHECK(stored.emplace(line.info.patch_id, number).second);
  }
  stored.erase("init");
  CHECK(operators.accepted() == stored);
  CHECK(stored.size() >= kPatches / kRacers / 2);
  CHECK(fleet->reversions == 0);
  CHECK(fleet->AllHave(number));
  MESSAGE("accepted " << stored.size() << ", sent again "
                      << operators.repeats());
}

}  // namespace daisywind::configuration
