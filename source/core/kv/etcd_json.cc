#include "kv/etcd_json.h"

#include <charconv>
#include <utility>

#include "kv/base64.h"

namespace daisywind::kv {
namespace {

auto ToJson(const range_request& from) -> json::object {
  auto to = json::object{};
  to["key"] = EncodeBase64(from.key);
  if (!from.range_end.empty()) {
    to["range_end"] = EncodeBase64(from.range_end);
  }
  if (from.limit > 0) {
    to["limit"] = std::to_string(from.limit);
  }
  if (from.keys_only) {
    to["keys_only"] = true;
  }
  return to;
}

auto ToJson(const put_request& from) -> json::object {
  auto to = json::object{};
  to["key"] = EncodeBase64(from.key);
  to["value"] = EncodeBase64(from.value);
  if (from.lease != 0) {
    to["lease"] = std::to_string(from.lease);
  }
  return to;
}

auto ToJson(const delete_request& from) -> json::object {
  auto to = json::object{};
  to["key"] = EncodeBase64(from.key);
  if (!from.range_end.empty()) {
    to["range_end"] = EncodeBase64(from.range_end);
  }
  return to;
}

auto OperationName(const range_request& /*from*/) -> std::string_view {
  return "request_range";
}

auto OperationName(const put_request& /*from*/) -> std::string_view {
  return "request_put";
}

auto OperationName(const delete_request& /*from*/) -> std::string_view {
  return "request_delete_range";
}

auto ToJson(const std::vector<operation>& from) -> json::array {
  auto to = json::array{};
  for (const auto& item : from) {
    std::visit(
        [&](const auto& request) {
          auto named = json::object{};
          named[OperationName(request)] = ToJson(request);
          to.emplace_back(std::move(named));
        },
        item);
  }
  return to;
}

auto ToJson(const compare& from) -> json::object {
  auto to = json::object{};
  to["key"] = EncodeBase64(from.key);
  to["target"] = "MOD";
  to["result"] = "EQUAL";
  to["mod_revision"] = std::to_string(from.mod_revision);
  return to;
}

// Reads a 64-bit integer given as a string or a number; zero when it is absent
// or invalid.
auto IntegerOrZero(const json::object& from, std::string_view name)
    -> std::int64_t {
  const auto* member = from.if_contains({name.data(), name.size()});
  const auto* text = member == nullptr ? nullptr : member->if_string();
  if (text == nullptr) {
    return IntegerOr(from, name, 0);
  }
  auto number = std::int64_t{0};
  std::from_chars(text->data(), text->data() + text->size(), number);
  return number;
}

auto ParseKeyValue(const json::object& from) -> std::optional<key_value> {
  auto key = DecodeBase64(StringOr(from, "key", ""));
  auto value = DecodeBase64(StringOr(from, "value", ""));
  if (!key || !value) {
    return std::nullopt;
  }
  return key_value{std::move(*key), std::move(*value),
                   IntegerOrZero(from, "create_revision"),
                   IntegerOrZero(from, "mod_revision")};
}

auto ParseRange(const json::object& from) -> std::optional<range_response> {
  auto to = range_response{};
  to.has_more = BoolOr(from, "more", false);
  const auto* items = ArrayOrNull(from, "kvs");
  if (items == nullptr) {
    return to;
  }
  for (const auto& item : *items) {
    auto parsed =
        item.is_object() ? ParseKeyValue(item.get_object()) : std::nullopt;
    if (!parsed) {
      return std::nullopt;
    }
    to.items.push_back(std::move(*parsed));
  }
  return to;
}

auto ParseObject(std::string_view text) -> std::optional<json::object> {
  auto value = ParseJson(text);
  if (!value || !value->is_object()) {
    return std::nullopt;
  }
  return std::move(value->get_object());
}

auto HeaderRevision(const json::object& from) -> std::optional<revision> {
  const auto* header = ObjectOrNull(from, "header");
  if (header == nullptr) {
    return std::nullopt;
  }
  return IntegerOrZero(*header, "revision");
}

auto ParseRangeResponses(const json::array& from, txn_response& to) -> bool {
  for (const auto& item : from) {
    const auto* object = item.if_object();
    if (object == nullptr) {
      return false;
    }
    const auto* range = ObjectOrNull(*object, "response_range");
    if (range == nullptr) {
      continue;
    }
    auto parsed = ParseRange(*range);
    if (!parsed) {
      return false;
    }
    to.ranges.push_back(std::move(*parsed));
  }
  return true;
}

auto ParseChange(const json::value& from) -> std::optional<watch_change> {
  const auto* object = from.if_object();
  const auto* item = object == nullptr ? nullptr : ObjectOrNull(*object, "kv");
  auto parsed = item == nullptr ? std::nullopt : ParseKeyValue(*item);
  if (!parsed) {
    return std::nullopt;
  }
  return watch_change{std::move(*parsed),
                      StringOr(*object, "type", "PUT") == "DELETE"};
}

}  // namespace

auto EncodeRange(const range_request& request) -> std::string {
  return json::serialize(ToJson(request));
}

auto EncodePut(const put_request& request) -> std::string {
  return json::serialize(ToJson(request));
}

auto EncodeTxn(const txn_request& request) -> std::string {
  auto compares = json::array{};
  for (const auto& item : request.compares) {
    compares.emplace_back(ToJson(item));
  }
  auto body = json::object{};
  body["compare"] = std::move(compares);
  body["success"] = ToJson(request.success);
  body["failure"] = ToJson(request.failure);
  return json::serialize(body);
}

auto EncodeGrant(std::int64_t ttl_seconds) -> std::string {
  auto body = json::object{};
  body["TTL"] = std::to_string(ttl_seconds);
  return json::serialize(body);
}

auto EncodeLease(lease_id id) -> std::string {
  auto body = json::object{};
  body["ID"] = std::to_string(id);
  return json::serialize(body);
}

auto EncodeWatch(std::string_view key, revision start_revision) -> std::string {
  auto create = json::object{};
  create["key"] = EncodeBase64(key);
  if (start_revision > 0) {
    create["start_revision"] = std::to_string(start_revision);
  }
  auto body = json::object{};
  body["create_request"] = std::move(create);
  return json::serialize(body);
}

auto DecodeRange(std::string_view text) -> std::optional<range_response> {
  const auto body = ParseObject(text);
  if (!body || !HeaderRevision(*body)) {
    return std::nullopt;
  }
  return ParseRange(*body);
}

auto DecodeTxn(std::string_view text) -> std::optional<txn_response> {
  const auto body = ParseObject(text);
  const auto at = body ? HeaderRevision(*body) : std::nullopt;
  if (!at) {
    return std::nullopt;
  }
  auto to = txn_response{*at, BoolOr(*body, "succeeded", false), {}};
  const auto* responses = ArrayOrNull(*body, "responses");
  if (responses != nullptr && !ParseRangeResponses(*responses, to)) {
    return std::nullopt;
  }
  return to;
}

auto DecodeRevision(std::string_view text) -> std::optional<revision> {
  const auto body = ParseObject(text);
  return body ? HeaderRevision(*body) : std::nullopt;
}

auto DecodeGrant(std::string_view text) -> std::optional<lease_state> {
  const auto body = ParseObject(text);
  if (!body || IntegerOrZero(*body, "ID") == 0) {
    return std::nullopt;
  }
  return lease_state{IntegerOrZero(*body, "ID"), IntegerOrZero(*body, "TTL")};
}

auto DecodeKeepAlive(std::string_view text) -> std::optional<lease_state> {
  const auto body = ParseObject(text);
  const auto* result = body ? ObjectOrNull(*body, "result") : nullptr;
  if (result == nullptr) {
    return std::nullopt;
  }
  return lease_state{IntegerOrZero(*result, "ID"),
                     IntegerOrZero(*result, "TTL")};
}

auto DecodeWatch(std::string_view line) -> std::optional<watch_message> {
  const auto body = ParseObject(line);
  const auto* result = body ? ObjectOrNull(*body, "result") : nullptr;
  if (result == nullptr) {
    return std::nullopt;
  }
  auto to = watch_message{};
  to.is_created = BoolOr(*result, "created", false);
  to.is_canceled = BoolOr(*result, "canceled", false);
  const auto* events = ArrayOrNull(*result, "events");
  for (const auto& event : events == nullptr ? json::array{} : *events) {
    auto change = ParseChange(event);
    if (!change) {
      return std::nullopt;
    }
    to.changes.push_back(std::move(*change));
  }
  return to;
}

}  // namespace daisywind::kv
