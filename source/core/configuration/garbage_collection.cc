#include "configuration/garbage_collection.h"

#include <set>
#include <utility>

namespace daisywind::configuration {
namespace {

// Number of the oldest retained version.
auto OldestKept(const collection_state& state, std::size_t kept)
    -> version_number {
  const auto newest = state.head.head ? state.head.head->info.ref.number : 0;
  return newest > kept ? newest - kept + 1 : 1;
}

auto RevisionsOf(const kv::range_response& range) -> key_revisions {
  auto keys = key_revisions{};
  for (const auto& item : range.items) {
    keys.emplace(item.key, item.mod_revision);
  }
  return keys;
}

auto PrefixRange(std::string_view prefix, bool keys_only) -> kv::range_request {
  return {std::string(prefix), PrefixEnd(prefix), 0, keys_only};
}

}  // namespace

auto CollectionRequest() -> kv::txn_request {
  auto request = HeadRequest("");
  request.success.emplace_back(PrefixRange(kHistoryPrefix, false));
  request.success.emplace_back(PrefixRange(kChunkPrefix, true));
  return request;
}

auto ReadCollection(const kv::txn_response& response)
    -> leaf::result<collection_state> {
  constexpr auto kRanges = std::size_t{4};
  auto state = collection_state{};
  if (response.ranges.size() != kRanges) {
    return leaf::new_error(document_error{
        "", "response to the garbage-collection read does not have 4 ranges"});
  }
  auto head = response;
  head.ranges.resize(2);
  BOOST_LEAF_ASSIGN(state.head, ReadHeadState(head));
  for (const auto& item : response.ranges[2].items) {
    BOOST_LEAF_AUTO(entry, DecodeEntry(item.value));
    state.entries.push_back(std::move(entry));
  }
  state.history_keys = RevisionsOf(response.ranges[2]);
  state.chunks = RevisionsOf(response.ranges[3]);
  return state;
}

auto UnusedChunks(const collection_state& state, std::size_t kept)
    -> key_revisions {
  auto unused = state.chunks;
  if (!state.head.head) {
    return {};
  }
  for (const auto& [bucket, chunk] : state.head.head->buckets) {
    unused.erase(ChunkKey(chunk));
  }
  const auto oldest = OldestKept(state, kept);
  for (const auto& entry : state.entries) {
    if (entry.info.ref.number <= oldest) {
      continue;
    }
    for (const auto& change : entry.replaced) {
      unused.erase(ChunkKey(change.chunk));
    }
  }
  return unused;
}

auto OutdatedHistoryKeys(const collection_state& state, std::size_t kept)
    -> key_revisions {
  auto history_keys = state.history_keys;
  const auto first_kept = HistoryKey(OldestKept(state, kept));
  history_keys.erase(history_keys.lower_bound(first_kept), history_keys.end());
  return history_keys;
}

auto OutdatedPatchKeys(const collection_state& state, std::size_t kept)
    -> std::vector<std::string> {
  auto keys = std::vector<std::string>{};
  const auto oldest = OldestKept(state, kept);
  for (const auto& entry : state.entries) {
    if (entry.info.ref.number < oldest && IsPatchId(entry.info.patch_id)) {
      keys.push_back(PatchKey(entry.info.patch_id));
    }
  }
  return keys;
}

auto RemoveRequest(const head_state& base, const key_revisions& keys)
    -> kv::txn_request {
  auto request = kv::txn_request{};
  request.compares = {{std::string(kHeadKey), base.head_revision},
                      {std::string(kCollectionKey), base.collection_revision}};
  for (const auto& [key, mod_revision] : keys) {
    if (mod_revision != 0) {
      request.compares.push_back({key, mod_revision});
    }
    request.success.emplace_back(kv::delete_request{key, ""});
  }
  request.success.emplace_back(
      kv::put_request{std::string(kCollectionKey), "", 0});
  return request;
}

}  // namespace daisywind::configuration
