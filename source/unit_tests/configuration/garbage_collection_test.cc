#include "configuration/garbage_collection.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>

#include "configuration/storage.h"
#include "fake_fleet.h"
#include "sample_document.h"

namespace daisywind::configuration {
namespace {

constexpr auto kVersions = version_number{8};
constexpr auto kKept = std::size_t{3};

auto CapacityPatch(std::uint64_t capacity) -> std::string {
  return R"({"endpoints":{"agent-1":{"capacity":)" + std::to_string(capacity) +
         "}}}";
}

auto MakeFleet() -> std::unique_ptr<fake_fleet> {
  auto fleet = std::make_unique<fake_fleet>(3, 1, 1);
  fleet->options.history_kept = kKept;
  fleet->Initialize(SampleDocument());
  fleet->StartAll();
  fleet->Run(5s);
  for (auto i = version_number{1}; i < kVersions; ++i) {
    fleet->PatchAndWait(0, i, "p" + std::to_string(i), CapacityPatch(20 + i));
  }
  return fleet;
}

auto StateOf(fake_fleet& fleet) -> collection_state {
  return ReadCollection(fleet.service.Execute(CollectionRequest())).value();
}

}  // namespace

TEST_CASE("only data that no retained version references is removed") {
  auto fleet = MakeFleet();
  const auto orphan = ChunkKey(DigestOf("orphan"));
  fleet->service.Put(orphan, "orphan");
  fleet->Run(4000s);
  // A single run removes no chunk, because the patch that writes it may still
  // be in progress.
  CHECK(fleet->service.Find(orphan) != nullptr);
  fleet->Run(4000s);
  CHECK(fleet->service.Find(orphan) == nullptr);
  const auto state = StateOf(*fleet);
  CHECK(state.entries.size() == kKept);
  CHECK(UnusedChunks(state, kKept).empty());
  CHECK(fleet->service.Find(PatchKey("p1")) == nullptr);
  CHECK(fleet->service.Find(PatchKey("p7")) != nullptr);
  fleet->Post(1, version_requested{1, kVersions - kKept + 1});
  fleet->Post(1, version_requested{2, kVersions - kKept});
  fleet->Run(6s);
  CHECK(fleet->version_replies.at(1).outcome == query_outcome::kFound);
  CHECK(fleet->version_replies.at(2).outcome == query_outcome::kNotFound);
  CHECK(fleet->PatchAndWait(2, kVersions, "p8", CapacityPatch(90)) ==
        patch_result(patch_accepted{kVersions + 1}));
}

TEST_CASE(
    "a patch whose chunks were removed before its acceptance is rejected") {
  auto fleet = MakeFleet();
  const auto read =
      ReadHeadState(fleet->service.Execute(HeadRequest("late"))).value();
  auto next = *read.head;
  next.info.ref.number += 1;
  next.info.patch_id = "late";
  const auto accept = AcceptRequest(read, next, {next.info, {}, {}});
  const auto chunk = ChunkKey(DigestOf("new chunk"));
  fleet->service.Put(chunk, "new chunk");
  fleet->Run(8000s);
  CHECK(fleet->service.Find(chunk) == nullptr);
  CHECK_FALSE(fleet->service.Execute(accept).has_succeeded);
}

TEST_CASE("a chunk that has been rewritten is not removed") {
  auto fleet = MakeFleet();
  const auto chunk = ChunkKey(DigestOf("new chunk"));
  fleet->service.Put(chunk, "new chunk");
  auto state = StateOf(*fleet);
  const auto keys = UnusedChunks(state, kKept);
  REQUIRE(keys.contains(chunk));
  fleet->service.Put(chunk, "new chunk");
  const auto request = RemoveRequest(state.head, keys);
  CHECK_FALSE(fleet->service.Execute(request).has_succeeded);
}

}  // namespace daisywind::configuration
