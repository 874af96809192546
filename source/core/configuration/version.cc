#include "configuration/version.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "configuration/patch.h"

namespace daisywind::configuration {
namespace {

using bucket_entries = std::map<std::string, json::value>;

auto BucketOf(std::string_view pointer) -> bucket_index {
  return static_cast<bucket_index>(PlacementHash(pointer) % kBucketCount);
}

// Returns the value with the members of each object sorted by name, so that
// equal values produce equal texts.
auto Sorted(const json::value& value) -> json::value {
  const auto* object = value.if_object();
  if (object == nullptr) {
    return value;
  }
  auto members = std::map<std::string, json::value>{};
  for (const auto& member : *object) {
    members.emplace(member.key(), Sorted(member.value()));
  }
  auto sorted = json::object{};
  for (auto& [name, member] : members) {
    sorted.emplace(name, std::move(member));
  }
  return sorted;
}

auto Render(const bucket_entries& entries) -> std::string {
  auto object = json::object{};
  for (const auto& [pointer, value] : entries) {
    object.emplace(pointer, Sorted(value));
  }
  return json::serialize(object);
}

// Sets the chunk of a bucket, or removes the bucket when it has no entries.
auto AddBucket(bucket_index bucket,
               const bucket_entries& entries,
               chunked_document& to) -> void {
  to.buckets.erase(bucket);
  if (entries.empty()) {
    return;
  }
  auto text = Render(entries);
  const auto name = DigestOf(text);
  to.buckets.emplace(bucket, name);
  to.chunks.emplace(name, std::move(text));
}

// The entries of a bucket, parsed from its chunk; none for an empty bucket.
// Fails with document_error when the chunk is missing or malformed.
auto EntriesOf(bucket_index bucket,
               const manifest& buckets,
               const chunk_map& chunks) -> leaf::result<bucket_entries> {
  auto entries = bucket_entries{};
  const auto name = buckets.find(bucket);
  if (name == buckets.end()) {
    return entries;
  }
  const auto found = chunks.find(name->second);
  if (found == chunks.end()) {
    return leaf::new_error(
        document_error{"", "chunk " + ToString(name->second) + " is missing"});
  }
  BOOST_LEAF_AUTO(value, ParseJson(found->second));
  if (!value.is_object()) {
    return leaf::new_error(document_error{"", "chunk is not a JSON object"});
  }
  for (auto& entry : value.get_object()) {
    entries.emplace(entry.key(), std::move(entry.value()));
  }
  return entries;
}

// Splits a JSON pointer of the form "/section/entry" into the section and the
// unescaped entry name. Both are empty when the pointer has no entry part.
auto SplitPointer(std::string_view pointer)
    -> std::pair<std::string, std::string> {
  const auto slash = pointer.find('/', 1);
  if (pointer.empty() || slash == std::string_view::npos) {
    return {};
  }
  auto entry = std::string{};
  for (auto i = slash + 1; i < pointer.size(); ++i) {
    const auto is_escaped = pointer[i] == '~' && i + 1 < pointer.size();
    i += is_escaped ? 1 : 0;
    const auto escape = pointer[i] == '1' ? '/' : '~';
    entry += is_escaped ? escape : pointer[i];
  }
  return {std::string(pointer.substr(1, slash - 1)), std::move(entry)};
}

auto AddChunk(json::object& root, const std::string& text)
    -> leaf::result<void> {
  BOOST_LEAF_AUTO(value, ParseJson(text));
  auto* entries = value.if_object();
  if (entries == nullptr) {
    return leaf::new_error(document_error{"", "chunk is not a JSON object"});
  }
  for (auto& entry : *entries) {
    const auto [section, name] = SplitPointer(entry.key());
    auto& target = root[section];
    if (!target.is_object()) {
      target = json::object{};
    }
    target.get_object()[name] = std::move(entry.value());
  }
  return {};
}

// The entries of all given buckets, as one JSON document.
auto EntriesOfBuckets(const manifest& buckets, const chunk_map& chunks)
    -> leaf::result<json::object> {
  auto root = json::object{};
  for (const auto& [bucket, name] : buckets) {
    const auto found = chunks.find(name);
    if (found == chunks.end()) {
      return leaf::new_error(
          document_error{"", "chunk " + ToString(name) + " is missing"});
    }
    BOOST_LEAF_CHECK(AddChunk(root, found->second));
  }
  return root;
}

// The buckets of `from` whose chunk is absent from or different in `other`.
auto DifferingBuckets(const manifest& from, const manifest& other) -> manifest {
  auto buckets = manifest{};
  for (const auto& [bucket, chunk] : from) {
    const auto found = other.find(bucket);
    if (found == other.end() || found->second != chunk) {
      buckets.emplace(bucket, chunk);
    }
  }
  return buckets;
}

template <class Entries>
auto ReplaceEntries(Entries& target, const Entries& removed, Entries& added)
    -> void {
  for (const auto& entry : removed) {
    target.erase(entry.first);
  }
  target.merge(added);
}

auto ToText(bucket_index bucket, const digest& chunk) -> std::string {
  return std::to_string(bucket) + ":" + ToString(chunk) + "\n";
}

}  // namespace

auto Split(const document& value) -> chunked_document {
  const auto root = ToJson(value);
  auto buckets = std::map<bucket_index, bucket_entries>{};
  for (const auto& section : root.get_object()) {
    const auto path = AppendPointer("", section.key());
    for (const auto& entry : section.value().get_object()) {
      auto pointer = AppendPointer(path, entry.key());
      const auto bucket = BucketOf(pointer);
      buckets[bucket].emplace(std::move(pointer), entry.value());
    }
  }
  auto result = chunked_document{};
  for (const auto& [bucket, entries] : buckets) {
    AddBucket(bucket, entries, result);
  }
  return result;
}

auto SplitChanged(const manifest& from,
                  const chunk_map& chunks,
                  const std::vector<entry_change>& changes)
    -> leaf::result<chunked_document> {
  auto result = chunked_document{from, {}};
  auto buckets = std::map<bucket_index, bucket_entries>{};
  for (const auto& change : changes) {
    const auto bucket = BucketOf(change.pointer);
    if (!buckets.contains(bucket)) {
      BOOST_LEAF_AUTO(entries, EntriesOf(bucket, from, chunks));
      buckets.emplace(bucket, std::move(entries));
    }
    auto& entries = buckets.at(bucket);
    entries.erase(change.pointer);
    if (!change.after.is_null()) {
      entries.emplace(change.pointer, change.after);
    }
  }
  for (const auto& [bucket, entries] : buckets) {
    AddBucket(bucket, entries, result);
  }
  return result;
}

auto PathsOf(const std::vector<entry_change>& changes)
    -> std::vector<std::string> {
  auto paths = std::vector<std::string>{};
  for (const auto& change : changes) {
    for (const auto& path :
         DifferingPaths(change.before, change.after, kMaxPaths)) {
      paths.push_back(change.pointer + path);
    }
  }
  std::sort(paths.begin(), paths.end());
  paths.resize(std::min(paths.size(), kMaxPaths));
  return paths;
}

auto Join(const manifest& buckets, const chunk_map& chunks)
    -> leaf::result<document> {
  BOOST_LEAF_AUTO(root, EntriesOfBuckets(buckets, chunks));
  return ReadDocument(json::value(std::move(root)));
}

auto JoinChanged(const document& from,
                 const manifest& from_buckets,
                 const manifest& buckets,
                 const chunk_map& chunks) -> leaf::result<document> {
  BOOST_LEAF_AUTO(
      old_members,
      EntriesOfBuckets(DifferingBuckets(from_buckets, buckets), chunks));
  BOOST_LEAF_AUTO(
      new_members,
      EntriesOfBuckets(DifferingBuckets(buckets, from_buckets), chunks));
  const auto has_migration = new_members.contains("migration");
  BOOST_LEAF_AUTO(removed, ReadDocument(json::value(std::move(old_members))));
  BOOST_LEAF_AUTO(added, ReadDocument(json::value(std::move(new_members))));
  auto to = from;
  ReplaceEntries(to.failure_domains, removed.failure_domains,
                 added.failure_domains);
  ReplaceEntries(to.organisations, removed.organisations, added.organisations);
  ReplaceEntries(to.models, removed.models, added.models);
  ReplaceEntries(to.adapters, removed.adapters, added.adapters);
  ReplaceEntries(to.services, removed.services, added.services);
  ReplaceEntries(to.endpoints, removed.endpoints, added.endpoints);
  ReplaceEntries(to.need, removed.need, added.need);
  to.migration = has_migration ? added.migration : from.migration;
  return to;
}

auto MakeChunkPatch(const std::string& from, const std::string& to)
    -> std::string {
  const auto before = ParseJson(from);
  const auto after = ParseJson(to);
  if (!before || !after) {
    return {};
  }
  auto patch = json::serialize(MergePatchBetween(*before, *after));
  return patch.size() < to.size() ? patch : std::string();
}

auto ApplyChunkPatch(const std::string& from, const std::string& patch)
    -> std::string {
  const auto before = ParseJson(from);
  const auto change = ParseJson(patch);
  if (!before || !change) {
    return {};
  }
  return json::serialize(Sorted(ApplyMergePatch(*before, *change)));
}

auto RootDigestOf(const manifest& buckets) -> digest {
  auto text = std::string{};
  for (const auto& [bucket, chunk] : buckets) {
    text += ToText(bucket, chunk);
  }
  return DigestOf(text);
}

auto DiffManifests(const manifest& from, const manifest& to)
    -> std::vector<bucket_change> {
  auto changes = std::vector<bucket_change>{};
  for (auto i = bucket_index{0}; i < kBucketCount; ++i) {
    const auto before = from.find(i);
    const auto after = to.find(i);
    const auto old_chunk = before == from.end() ? digest{} : before->second;
    const auto new_chunk = after == to.end() ? digest{} : after->second;
    if (old_chunk != new_chunk) {
      changes.push_back({i, new_chunk});
    }
  }
  return changes;
}

auto ApplyBucketChanges(manifest from,
                        const std::vector<bucket_change>& changes) -> manifest {
  for (const auto& change : changes) {
    if (change.chunk == digest{}) {
      from.erase(change.bucket);
    } else {
      from[change.bucket] = change.chunk;
    }
  }
  return from;
}

}  // namespace daisywind::configuration
