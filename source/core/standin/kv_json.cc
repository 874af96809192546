#include "standin/kv_json.h"

#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace daisywind::standin {
namespace {

constexpr auto kBase64Group = std::size_t{4};
constexpr auto kByteGroup = std::size_t{3};

// Converts a snake_case name, such as range_end, to lowerCamelCase (rangeEnd).
auto CamelCase(std::string_view name) -> std::string {
  auto out = std::string{};
  auto is_upper = false;
  for (const auto c : name) {
    if (c == '_') {
      is_upper = true;
      continue;
    }
    out.push_back(is_upper ? static_cast<char>(c - 'a' + 'A') : c);
    is_upper = false;
  }
  return out;
}

auto Member(const json::object& object, std::string_view name)
    -> const json::value* {
  const auto* found = object.if_contains(name);
  return found != nullptr ? found : object.if_contains(CamelCase(name));
}

auto Text(const json::object& object, std::string_view name) -> std::string {
  const auto* found = Member(object, name);
  if (found == nullptr || !found->is_string()) {
    return {};
  }
  return {found->get_string().data(), found->get_string().size()};
}

auto Bytes(const json::object& object, std::string_view name) -> std::string {
  return DecodeBase64(Text(object, name)).value_or("");
}

struct target_name {
  std::string_view name;
  compare_target target;
  std::string_view operand;
};

constexpr auto kTargets = std::to_array<target_name>({
    {"VERSION", compare_target::kVersion, "version"},
    {"CREATE", compare_target::kCreateRevision, "create_revision"},
    {"MOD", compare_target::kModRevision, "mod_revision"},
    {"VALUE", compare_target::kValue, "value"},
    {"LEASE", compare_target::kLease, "lease"},
});

struct result_name {
  std::string_view name;
  compare_result result;
};

constexpr auto kResults = std::to_array<result_name>({
    {"EQUAL", compare_result::kEqual},
    {"GREATER", compare_result::kGreater},
    {"LESS", compare_result::kLess},
    {"NOT_EQUAL", compare_result::kNotEqual},
});

auto ToCompare(const json::object& object) -> kv_compare {
  auto compare = kv_compare{};
  compare.key = Bytes(object, "key");
  const auto target = Text(object, "target");
  const auto result = Text(object, "result");
  // An absent or unknown target or result defaults to the first entry of its
  // table.
  auto chosen_target = kTargets.front();
  for (const auto& item : kTargets) {
    chosen_target = item.name == target ? item : chosen_target;
  }
  for (const auto& item : kResults) {
    compare.result = item.name == result ? item.result : compare.result;
  }
  compare.target = chosen_target.target;
  if (compare.target == compare_target::kValue) {
    compare.value = Bytes(object, chosen_target.operand);
  } else {
    compare.number = KvInteger(object, chosen_target.operand);
  }
  return compare;
}

auto ToOp(const json::object& object) -> std::optional<kv_op> {
  const auto* put = Member(object, "request_put");
  if (put != nullptr && put->is_object()) {
    return ToPut(put->get_object());
  }
  const auto* range = Member(object, "request_range");
  if (range != nullptr && range->is_object()) {
    return ToRange(range->get_object());
  }
  const auto* remove = Member(object, "request_delete_range");
  if (remove != nullptr && remove->is_object()) {
    return delete_op{ToKeyRange(remove->get_object())};
  }
  return std::nullopt;
}

auto ToOps(const json::object& object, std::string_view name)
    -> std::optional<std::vector<kv_op>> {
  auto ops = std::vector<kv_op>{};
  const auto* items = ArrayOrNull(object, name);
  if (items == nullptr) {
    return ops;
  }
  for (const auto& item : *items) {
    auto op = item.is_object() ? ToOp(item.get_object()) : std::nullopt;
    if (!op) {
      return std::nullopt;
    }
    ops.push_back(std::move(*op));
  }
  return ops;
}

auto LargestValue(const std::vector<kv_op>& ops) -> std::size_t {
  auto largest = std::size_t{0};
  for (const auto& op : ops) {
    const auto* put = std::get_if<put_op>(&op);
    largest = std::max(largest, put == nullptr ? 0 : put->value.size());
  }
  return largest;
}

}  // namespace

auto EncodeBase64(std::string_view bytes) -> std::string {
  const auto groups = (bytes.size() + kByteGroup - 1) / kByteGroup;
  auto out = std::string(groups * kBase64Group + 1, '\0');
  const auto size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  out.resize(static_cast<std::size_t>(size));
  return out;
}

auto DecodeBase64(std::string_view text) -> std::optional<std::string> {
  if (text.size() % kBase64Group != 0) {
    return std::nullopt;
  }
  auto out = std::string(text.size() / kBase64Group * kByteGroup, '\0');
  const auto size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (size < 0) {
    return std::nullopt;
  }
  // EVP_DecodeBlock decodes padding as zero bytes and includes them in the
  // size.
  const auto padding =
      text.size() - std::min(text.size(), text.find_last_not_of('=') + 1);
  out.resize(static_cast<std::size_t>(size) - padding);
  return out;
}

auto KvInteger(const json::object& object, std::string_view name)
    -> std::int64_t {
  const auto* found = Member(object, name);
  if (found == nullptr) {
    return 0;
  }
  if (!found->is_string()) {
    auto error = json::error_code{};
    const auto number = found->to_number<std::int64_t>(error);
    return error ? 0 : number;
  }
  const auto& text = found->get_string();
  auto number = std::int64_t{0};
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

auto ToKeyRange(const json::object& object) -> key_range {
  return {Bytes(object, "key"), Bytes(object, "range_end")};
}

auto ToPut(const json::object& object) -> put_op {
  return {Bytes(object, "key"), Bytes(object, "value"),
          KvInteger(object, "lease")};
}

auto ToRange(const json::object& object) -> range_op {
  return {ToKeyRange(object),
          static_cast<std::size_t>(KvInteger(object, "limit"))};
}

auto ToTxn(const json::object& object) -> std::optional<kv_txn> {
  auto txn = kv_txn{};
  if (const auto* items = ArrayOrNull(object, "compare")) {
    for (const auto& item : *items) {
      if (!item.is_object()) {
        return std::nullopt;
      }
      txn.compares.push_back(ToCompare(item.get_object()));
    }
  }
  auto success = ToOps(object, "success");
  auto failure = ToOps(object, "failure");
  if (!success || !failure) {
    return std::nullopt;
  }
  txn.success = std::move(*success);
  txn.failure = std::move(*failure);
  return txn;
}

auto ToJson(const kv_entry& entry) -> json::object {
  auto out =
      json::object{{"key", EncodeBase64(entry.key)},
                   {"create_revision", std::to_string(entry.create_revision)},
                   {"mod_revision", std::to_string(entry.mod_revision)},
                   {"version", std::to_string(entry.version)},
                   {"value", EncodeBase64(entry.value)}};
  if (entry.lease != 0) {
    out["lease"] = std::to_string(entry.lease);
  }
  return out;
}

auto ToJson(const kv_event& event) -> json::object {
  if (!event.is_delete) {
    return {{"kv", ToJson(event.entry)}};
  }
  const auto entry =
      json::object{{"key", EncodeBase64(event.entry.key)},
                   {"mod_revision", std::to_string(event.entry.mod_revision)}};
  return {{"type", "DELETE"}, {"kv", entry}};
}

auto ToJson(const kv_op_result& result) -> json::object {
  auto out = json::object{};
  if (const auto* range = std::get_if<range_result>(&result)) {
    auto kvs = json::array{};
    for (const auto& entry : range->entries) {
      kvs.emplace_back(ToJson(entry));
    }
    if (!kvs.empty()) {
      out["kvs"] = std::move(kvs);
    }
    if (range->entries.size() < range->count) {
      out["more"] = true;
    }
    out["count"] = std::to_string(range->count);
  }
  if (const auto* removed = std::get_if<delete_result>(&result)) {
    out["deleted"] = std::to_string(removed->deleted);
  }
  return out;
}

auto ResponseName(const kv_op_result& result) -> std::string_view {
  static constexpr auto kNames = std::to_array<std::string_view>(
      {"response_put", "response_range", "response_delete_range"});
  return kNames.at(result.index());
}

auto LargestValue(const kv_txn& txn) -> std::size_t {
  return std::max(LargestValue(txn.success), LargestValue(txn.failure));
}

}  // namespace daisywind::standin
