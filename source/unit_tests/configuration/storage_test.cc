#include "configuration/storage.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <utility>

#include "configuration/patch.h"
#include "sample_document.h"

namespace daisywind::configuration {
namespace {

constexpr auto kMaxValueBytes = std::size_t{1} << 20U;
constexpr auto kReplicas = std::size_t{12000};

auto LargestPut(const std::vector<kv::txn_request>& requests) -> std::size_t {
  auto largest = std::size_t{0};
  for (const auto& request : requests) {
    for (const auto& item : request.success) {
      if (const auto* put = std::get_if<kv::put_request>(&item)) {
        largest = std::max(largest, put->value.size());
      }
    }
  }
  return largest;
}

}  // namespace

TEST_CASE("a document is split into chunks and joined again") {
  const auto value = LargeDocument(500);
  const auto content = Split(value);
  CHECK(Join(content.buckets, content.chunks).value() == value);
  auto broken = content;
  broken.chunks.erase(broken.chunks.begin());
  CHECK_FALSE(Join(broken.buckets, broken.chunks));
}

TEST_CASE("one changed endpoint changes one chunk") {
  const auto before = LargeDocument(500);
  auto after = before;
  after.endpoints.at(endpoint_id("engine-7")).capacity = 9;
  const auto changes =
      DiffManifests(Split(before).buckets, Split(after).buckets);
  REQUIRE(changes.size() == 1);
  CHECK(ApplyBucketChanges(Split(before).buckets, changes) ==
        Split(after).buckets);
}

TEST_CASE("a document is split and joined incrementally from another version") {
  const auto before = LargeDocument(300);
  auto after = before;
  after.endpoints.at(endpoint_id("engine-7")).capacity = 9;
  after.endpoints.erase(endpoint_id("engine-8"));
  after.endpoints[endpoint_id("new")] =
      before.endpoints.at(endpoint_id("engine-8"));
  after.organisations.clear();
  after.adapters[adapter_id("other")] =
      before.adapters.at(adapter_id("combos"));
  after.need["agent"] = 2;
  after.migration.deadline_seconds = 60;
  for (const auto& [from, to] :
       {std::pair(before, after), std::pair(after, before),
        std::pair(before, before)}) {
    const auto old_content = Split(from);
    const auto new_content = Split(to);
    auto chunks = old_content.chunks;
    chunks.insert(new_content.chunks.begin(), new_content.chunks.end());
    const auto again = SplitChanged(old_content.buckets, old_content.chunks,
                                    ChangedEntries(from, to));
    CHECK(again.value().buckets == new_content.buckets);
    CHECK(PathsOf(ChangedEntries(from, to)) ==
          DifferingPaths(ToJson(from), ToJson(to), kMaxPaths));
    CHECK(JoinChanged(from, old_content.buckets, new_content.buckets, chunks)
              .value() == to);
  }
}

TEST_CASE("a chunk patch is short and produces the new chunk") {
  const auto before = LargeDocument(500);
  auto after = before;
  after.endpoints.at(endpoint_id("engine-7")).capacity = 9;
  after.endpoints.erase(endpoint_id("engine-8"));
  after.organisations.at(organisation_id("choclo")).limits.reset();
  after.need["agent"] = 2;
  const auto from = Split(before);
  const auto to = Split(after);
  const auto changes = DiffManifests(from.buckets, to.buckets);
  CHECK(changes.size() >= 3);
  for (const auto& change : changes) {
    const auto& old_chunk = from.chunks.at(from.buckets.at(change.bucket));
    const auto& new_chunk = to.chunks.at(change.chunk);
    const auto patch = MakeChunkPatch(old_chunk, new_chunk);
    CHECK(patch.size() < 100);
    CHECK(ApplyChunkPatch(old_chunk, patch) == new_chunk);
  }
  CHECK(ApplyChunkPatch("{", "{}").empty());
}

TEST_CASE("values stay under a megabyte at 12,000 replicas") {
  const auto requests = InitialVersionRequests(LargeDocument(kReplicas), {});
  CHECK(LargestPut(requests) < kMaxValueBytes);
  for (const auto& request : requests) {
    CHECK(request.success.size() <= kMaxTxnOperations);
  }
}

TEST_CASE("heads and history entries round-trip through their encoding") {
  const auto content = Split(SampleDocument());
  const auto head =
      version_head{{{7, RootDigestOf(content.buckets)}, "id-1", "ana", 1234},
                   content.buckets};
  CHECK(DecodeHead(EncodeHead(head)).value() == head);
  const auto record = history_entry{head.info, {"/need"}, {{3, digest{}}}};
  CHECK(DecodeEntry(EncodeEntry(record)).value() == record);
  auto wrong = head;
  wrong.buckets.erase(wrong.buckets.begin());
  CHECK_FALSE(DecodeHead(EncodeHead(wrong)));
  for (const auto* text : {"", "[]", "{", R"({"number":1})"}) {
    CHECK_FALSE(DecodeHead(text));
  }
}

TEST_CASE("patch ids are validated") {
  CHECK(IsPatchId("a.B-9_"));
  CHECK_FALSE(IsPatchId(""));
  CHECK_FALSE(IsPatchId("a/b"));
  CHECK_FALSE(IsPatchId(std::string(129, 'a')));
}

}  // namespace daisywind::configuration
