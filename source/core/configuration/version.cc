#include "configuration/version.h"

#include <array>
#include <string_view>
#include <utility>

namespace daisywind::configuration {
namespace {

using bucket_entries = std::map<std::string, const json::value*>;

auto BucketOf(std::string_view pointer) -> bucket_index {
  return static_cast<bucket_index>(PlacementHash(pointer) % kBucketCount);
}

auto Render(const bucket_entries& entries) -> std::string {
  auto object = json::object{};
  for (const auto& [pointer, value] : entries) {
    object.emplace(pointer, *value);
  }
  return json::serialize(object);
}

// A pointer of a chunk names a section and an entry of it, both escaped.
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
    return leaf::new_error(document_error{"", "a chunk is not an object"});
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
      buckets[bucket].emplace(std::move(pointer), &entry.value());
    }
  }
  auto result = chunked_document{};
  for (const auto& [bucket, entries] : buckets) {
    auto text = Render(entries);
    const auto name = DigestOf(text);
    result.buckets.emplace(bucket, name);
    result.chunks.emplace(name, std::move(text));
  }
  return result;
}

auto Join(const manifest& buckets, const chunk_map& chunks)
    -> leaf::result<document> {
  auto root = json::object{};
  for (const auto& [bucket, name] : buckets) {
    const auto found = chunks.find(name);
    if (found == chunks.end()) {
      return leaf::new_error(
          document_error{"", "chunk " + ToString(name) + " is missing"});
    }
    BOOST_LEAF_CHECK(AddChunk(root, found->second));
  }
  return ReadDocument(json::value(std::move(root)));
}

auto RootOf(const manifest& buckets) -> digest {
  auto text = std::string{};
  for (const auto& [bucket, chunk] : buckets) {
    text += ToText(bucket, chunk);
  }
  return DigestOf(text);
}

auto ChangesBetween(const manifest& from, const manifest& to)
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

auto WithChanges(manifest from, const std::vector<bucket_change>& changes)
    -> manifest {
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
