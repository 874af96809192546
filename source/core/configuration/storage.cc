#include "configuration/storage.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "common/json.h"

namespace daisywind::configuration {
namespace {

constexpr auto kHistoryDigits = std::size_t{20};
constexpr auto kMaxPatchIdBytes = std::size_t{128};

auto InvalidValue(std::string reason) -> leaf::error_id {
  return leaf::new_error(document_error{"", std::move(reason)});
}

auto HexDigit(char letter) -> int {
  if (letter >= '0' && letter <= '9') {
    return letter - '0';
  }
  return letter >= 'a' && letter <= 'f' ? letter - 'a' + 10 : -1;
}

auto ParseDigest(std::string_view text) -> leaf::result<digest> {
  auto value = digest{};
  if (text.size() != 2 * kDigestBytes) {
    return InvalidValue("digest does not have 32 hexadecimal digits");
  }
  for (auto i = std::size_t{0}; i < kDigestBytes; ++i) {
    const auto high = HexDigit(text[2 * i]);
    const auto low = HexDigit(text[2 * i + 1]);
    if (high < 0 || low < 0) {
      return InvalidValue(
          "digest has a character that is not a lower-case hexadecimal digit");
    }
    value.bytes.at(i) = static_cast<std::uint8_t>(high * 16 + low);
  }
  return value;
}

auto ParseNumber(std::string_view text) -> leaf::result<std::uint64_t> {
  auto number = std::uint64_t{0};
  const auto* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc{} || stop != end || text.empty()) {
    return InvalidValue("number is not an unsigned 64-bit decimal");
  }
  return number;
}

auto InfoToJson(const version_info& info) -> json::object {
  auto object = json::object{};
  object["number"] = info.ref.number;
  object["root"] = ToString(info.ref.root);
  object["patch_id"] = info.patch_id;
  object["author"] = info.author;
  object["accepted_unix_ms"] = info.accepted_unix_ms;
  return object;
}

auto InfoFromJson(const json::object& object) -> leaf::result<version_info> {
  auto info = version_info{};
  info.ref.number = static_cast<version_number>(IntegerOr(object, "number", 0));
  BOOST_LEAF_ASSIGN(info.ref.root, ParseDigest(StringOr(object, "root", "")));
  info.patch_id = StringOr(object, "patch_id", "");
  info.author = StringOr(object, "author", "");
  info.accepted_unix_ms = IntegerOr(object, "accepted_unix_ms", 0);
  return info;
}

template <class Buckets>
auto BucketsToJson(const Buckets& buckets) -> json::object {
  auto object = json::object{};
  for (const auto& [bucket, chunk] : buckets) {
    object[std::to_string(bucket)] = ToString(chunk);
  }
  return object;
}

auto BucketsFromJson(const json::object& from)
    -> leaf::result<std::vector<bucket_change>> {
  auto buckets = std::vector<bucket_change>{};
  const auto* object = ObjectOrNull(from, "buckets");
  if (object == nullptr) {
    return InvalidValue("stored value has no object 'buckets'");
  }
  for (const auto& entry : *object) {
    BOOST_LEAF_AUTO(index, ParseNumber(entry.key()));
    const auto* text = entry.value().if_string();
    if (text == nullptr || index >= kBucketCount) {
      return InvalidValue(
          "bucket index is not from 0 to 255 or its digest is not a string");
    }
    BOOST_LEAF_AUTO(chunk, ParseDigest({text->data(), text->size()}));
    buckets.push_back({static_cast<bucket_index>(index), chunk});
  }
  return buckets;
}

auto ParseObject(std::string_view text) -> leaf::result<json::object> {
  BOOST_LEAF_AUTO(value, ParseJson(text));
  auto* object = value.if_object();
  if (object == nullptr) {
    return InvalidValue("stored value is not a JSON object");
  }
  return std::move(*object);
}

auto Range(std::string key, std::string range_end = {}) -> kv::range_request {
  return {std::move(key), std::move(range_end), 0, false};
}

auto HeadRanges(std::string_view patch_id) -> std::vector<kv::operation> {
  auto ranges = std::vector<kv::operation>{};
  ranges.emplace_back(Range(std::string(kHeadKey)));
  ranges.emplace_back(Range(std::string(kCollectionKey)));
  if (!patch_id.empty()) {
    ranges.emplace_back(Range(PatchKey(patch_id)));
  }
  return ranges;
}

auto Put(std::string key, std::string value) -> kv::put_request {
  return {std::move(key), std::move(value), 0};
}

auto FirstOf(const kv::txn_response& response, std::size_t index)
    -> const kv::key_value* {
  if (index >= response.ranges.size() || response.ranges[index].items.empty()) {
    return nullptr;
  }
  return &response.ranges[index].items.front();
}

}  // namespace

auto ChunkKey(const digest& chunk) -> std::string {
  return std::string(kChunkPrefix) + ToString(chunk);
}

auto HistoryKey(version_number number) -> std::string {
  const auto digits = std::to_string(number);
  return std::string(kHistoryPrefix) +
         std::string(kHistoryDigits - digits.size(), '0') + digits;
}

auto PatchKey(std::string_view patch_id) -> std::string {
  return std::string(kPatchPrefix) + std::string(patch_id);
}

auto PrefixEnd(std::string_view prefix) -> std::string {
  auto end = std::string(prefix);
  end.back() = static_cast<char>(end.back() + 1);
  return end;
}

auto IsPatchId(std::string_view text) -> bool {
  constexpr auto kAllowed = std::string_view(
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-");
  return !text.empty() && text.size() <= kMaxPatchIdBytes &&
         text.find_first_not_of(kAllowed) == std::string_view::npos;
}

auto EncodeHead(const version_head& head) -> std::string {
  auto object = InfoToJson(head.info);
  object["buckets"] = BucketsToJson(head.buckets);
  return json::serialize(object);
}

auto DecodeHead(std::string_view text) -> leaf::result<version_head> {
  BOOST_LEAF_AUTO(object, ParseObject(text));
  auto head = version_head{};
  BOOST_LEAF_ASSIGN(head.info, InfoFromJson(object));
  BOOST_LEAF_AUTO(buckets, BucketsFromJson(object));
  head.buckets = ApplyBucketChanges({}, buckets);
  if (head.info.ref.number == 0 ||
      head.info.ref.root != RootDigestOf(head.buckets)) {
    return InvalidValue(
        "stored head has number 0 or a root digest that does not match its "
        "buckets");
  }
  return head;
}

auto EncodeEntry(const history_entry& entry) -> std::string {
  auto object = InfoToJson(entry.info);
  object["paths"] = json::value_from(entry.paths);
  object["buckets"] = BucketsToJson([&] {
    auto buckets = manifest{};
    for (const auto& change : entry.replaced) {
      buckets.emplace(change.bucket, change.chunk);
    }
    return buckets;
  }());
  return json::serialize(object);
}

auto DecodeEntry(std::string_view text) -> leaf::result<history_entry> {
  BOOST_LEAF_AUTO(object, ParseObject(text));
  auto entry = history_entry{};
  BOOST_LEAF_ASSIGN(entry.info, InfoFromJson(object));
  BOOST_LEAF_ASSIGN(entry.replaced, BucketsFromJson(object));
  const auto* paths = ArrayOrNull(object, "paths");
  for (const auto& path : paths == nullptr ? json::array{} : *paths) {
    entry.paths.emplace_back(path.is_string() ? path.get_string() : "");
  }
  return entry;
}

auto HeadRequest(std::string_view patch_id) -> kv::txn_request {
  return {{}, HeadRanges(patch_id), {}};
}

auto ReadHeadState(const kv::txn_response& response)
    -> leaf::result<head_state> {
  auto state = head_state{};
  if (const auto* head = FirstOf(response, 0)) {
    BOOST_LEAF_ASSIGN(state.head, DecodeHead(head->value));
    state.head_revision = head->mod_revision;
  }
  if (const auto* collection = FirstOf(response, 1)) {
    state.collection_revision = collection->mod_revision;
  }
  if (const auto* accepted = FirstOf(response, 2)) {
    BOOST_LEAF_ASSIGN(state.accepted, ParseNumber(accepted->value));
  }
  return state;
}

auto ChunkReadRequests(const std::vector<digest>& chunks)
    -> std::vector<kv::txn_request> {
  auto requests = std::vector<kv::txn_request>{};
  for (const auto& chunk : chunks) {
    if (requests.empty() ||
        requests.back().success.size() >= kMaxTxnOperations) {
      requests.emplace_back();
    }
    requests.back().success.emplace_back(Range(ChunkKey(chunk)));
  }
  return requests;
}

auto ChunkWriteRequests(const chunk_map& chunks)
    -> std::vector<kv::txn_request> {
  auto requests = std::vector<kv::txn_request>{};
  auto bytes = std::size_t{0};
  for (const auto& [name, text] : chunks) {
    if (requests.empty() || bytes + text.size() > kMaxTxnBytes ||
        requests.back().success.size() >= kMaxTxnOperations) {
      requests.emplace_back();
      bytes = 0;
    }
    bytes += text.size();
    requests.back().success.emplace_back(Put(ChunkKey(name), text));
  }
  return requests;
}

auto AcceptRequest(const head_state& base,
                   const version_head& head,
                   const history_entry& entry) -> kv::txn_request {
  auto request = kv::txn_request{};
  const auto& patch_id = head.info.patch_id;
  request.compares = {{std::string(kHeadKey), base.head_revision},
                      {std::string(kCollectionKey), base.collection_revision},
                      {PatchKey(patch_id), 0}};
  const auto number = std::to_string(head.info.ref.number);
  request.success.emplace_back(Put(std::string(kHeadKey), EncodeHead(head)));
  request.success.emplace_back(
      Put(HistoryKey(head.info.ref.number), EncodeEntry(entry)));
  request.success.emplace_back(Put(PatchKey(patch_id), number));
  request.failure = HeadRanges(patch_id);
  return request;
}

auto RestoreRequest(const head_state& base, const version_head& head)
    -> kv::txn_request {
  auto request = kv::txn_request{};
  request.compares = {{std::string(kHeadKey), base.head_revision},
                      {std::string(kCollectionKey), base.collection_revision}};
  request.success.emplace_back(Put(std::string(kHeadKey), EncodeHead(head)));
  if (IsPatchId(head.info.patch_id)) {
    request.success.emplace_back(Put(PatchKey(head.info.patch_id),
                                     std::to_string(head.info.ref.number)));
  }
  return request;
}

auto HistoryRequest(version_number first) -> kv::txn_request {
  auto request = kv::txn_request{};
  request.success.emplace_back(Range(std::string(kHeadKey)));
  request.success.emplace_back(
      Range(HistoryKey(first), PrefixEnd(kHistoryPrefix)));
  return request;
}

auto ReadHistoryState(const kv::txn_response& response)
    -> leaf::result<history_state> {
  auto state = history_state{};
  if (const auto* head = FirstOf(response, 0)) {
    BOOST_LEAF_ASSIGN(state.head, DecodeHead(head->value));
  }
  if (response.ranges.size() < 2) {
    return state;
  }
  for (const auto& item : response.ranges[1].items) {
    BOOST_LEAF_AUTO(entry, DecodeEntry(item.value));
    state.entries.push_back(std::move(entry));
  }
  return state;
}

auto ManifestAt(version_number number, const history_state& state)
    -> std::optional<manifest> {
  if (!state.head || state.head->info.ref.number < number || number == 0) {
    return std::nullopt;
  }
  auto buckets = state.head->buckets;
  auto reached = state.head->info.ref.number;
  for (auto i = state.entries.rbegin(); i != state.entries.rend(); ++i) {
    if (reached == number || i->info.ref.number > reached) {
      continue;
    }
    if (i->info.ref.number != reached ||
        i->info.ref.root != RootDigestOf(buckets)) {
      return std::nullopt;
    }
    buckets = ApplyBucketChanges(std::move(buckets), i->replaced);
    reached -= 1;
  }
  return reached == number ? std::optional(std::move(buckets)) : std::nullopt;
}

auto InitialVersionRequests(const document& value, const version_info& info)
    -> std::vector<kv::txn_request> {
  const auto content = Split(value);
  auto head = version_head{info, content.buckets};
  head.info.ref = {1, RootDigestOf(content.buckets)};
  auto entry = history_entry{head.info, {""}, {}};
  entry.replaced = DiffManifests(content.buckets, {});
  auto requests = ChunkWriteRequests(content.chunks);
  requests.push_back(AcceptRequest({}, head, entry));
  requests.back().compares.erase(requests.back().compares.begin() + 1);
  return requests;
}

}  // namespace daisywind::configuration
