#include "kv/kv_json.h"

#include <charconv>
#include <utility>
#include <variant>

#include "kv/base64.h"

namespace daisywind::kv {
namespace {

auto ToJson(const compare& condition) -> json::object {
  auto object = json::object{};
  object["key"] = EncodeBase64(condition.key);
  object["target"] = "MOD";
  object["result"] = "EQUAL";
  object["mod_revision"] = std::to_string(condition.mod_revision);
  return object;
}

auto Wrap(std::string_view name, json::object inner) -> json::object {
  auto object = json::object{};
  object[name] = std::move(inner);
  return object;
}

auto ToJson(const range_request& request) -> json::object {
  auto object = json::object{};
  object["key"] = EncodeBase64(request.key);
  if (!request.range_end.empty()) {
    object["range_end"] = EncodeBase64(request.range_end);
  }
  if (request.limit != 0) {
    object["limit"] = std::to_string(request.limit);
  }
  if (request.keys_only) {
    object["keys_only"] = true;
  }
  return Wrap("request_range", std::move(object));
}

auto ToJson(const put_request& request) -> json::object {
  auto object = json::object{};
  object["key"] = EncodeBase64(request.key);
  object["value"] = EncodeBase64(request.value);
  if (request.lease != 0) {
    object["lease"] = std::to_string(request.lease);
  }
  return Wrap("request_put", std::move(object));
}

auto ToJson(const delete_request& request) -> json::object {
  auto object = json::object{};
  object["key"] = EncodeBase64(request.key);
  if (!request.range_end.empty()) {
    object["range_end"] = EncodeBase64(request.range_end);
  }
  return Wrap("request_delete_range", std::move(object));
}

auto ToJson(const std::vector<operation>& operations) -> json::array {
  auto list = json::array{};
  for (const auto& item : operations) {
    list.push_back(
        std::visit([](const auto& request) { return ToJson(request); }, item));
  }
  return list;
}

auto ReadBytes(const json::object& object, std::string_view key)
    -> std::string {
  return DecodeBase64(StringOr(object, key, "")).value_or("");
}

auto ReadItem(const json::object& object) -> key_value {
  return {ReadBytes(object, "key"), ReadBytes(object, "value"),
          ReadInteger(object, "create_revision"),
          ReadInteger(object, "mod_revision")};
}

auto ReadRange(const json::object& object) -> range_response {
  auto range = range_response{};
  range.has_more = BoolOr(object, "more", false);
  if (const auto* items = ArrayOrNull(object, "kvs")) {
    for (const auto& item : *items) {
      if (item.is_object()) {
        range.items.push_back(ReadItem(item.get_object()));
      }
    }
  }
  return range;
}

auto ParseObject(std::string_view text) -> std::optional<json::object> {
  auto error = json::error_code{};
  auto value = json::parse({text.data(), text.size()}, error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.get_object());
}

}  // namespace

auto TxnBody(const txn_request& request) -> std::string {
  auto compares = json::array{};
  for (const auto& condition : request.compares) {
    compares.push_back(ToJson(condition));
  }
  auto body = json::object{};
  body["compare"] = std::move(compares);
  body["success"] = ToJson(request.success);
  body["failure"] = ToJson(request.failure);
  return json::serialize(body);
}

auto ReadTxnResponse(std::string_view body) -> std::optional<txn_response> {
  const auto object = ParseObject(body);
  const auto* header = object ? ObjectOrNull(*object, "header") : nullptr;
  if (header == nullptr) {
    return std::nullopt;
  }
  auto response = txn_response{};
  response.revision_at = ReadInteger(*header, "revision");
  response.has_succeeded = BoolOr(*object, "succeeded", false);
  const auto* list = ArrayOrNull(*object, "responses");
  if (list == nullptr) {
    return response;
  }
  for (const auto& item : *list) {
    const auto* range = item.is_object()
                            ? ObjectOrNull(item.get_object(), "response_range")
                            : nullptr;
    if (range != nullptr) {
      response.ranges.push_back(ReadRange(*range));
    }
  }
  return response;
}

auto WatchBody(const std::string& key, revision start) -> std::string {
  auto create = json::object{};
  create["key"] = EncodeBase64(key);
  create["start_revision"] = std::to_string(start);
  return json::serialize(Wrap("create_request", std::move(create)));
}

auto ReadWatchLine(std::string_view line)
    -> std::optional<std::vector<key_value>> {
  const auto object = ParseObject(line);
  const auto* result = object ? ObjectOrNull(*object, "result") : nullptr;
  if (result == nullptr || BoolOr(*result, "canceled", false)) {
    return std::nullopt;
  }
  auto items = std::vector<key_value>{};
  if (const auto* events = ArrayOrNull(*result, "events")) {
    for (const auto& event : *events) {
      const auto* item =
          event.is_object() ? ObjectOrNull(event.get_object(), "kv") : nullptr;
      if (item != nullptr) {
        items.push_back(ReadItem(*item));
      }
    }
  }
  return items;
}

auto ReadInteger(const json::object& object, std::string_view key)
    -> std::int64_t {
  const auto text = StringOr(object, key, "");
  if (text.empty()) {
    return IntegerOr(object, key, 0);
  }
  auto value = std::int64_t{0};
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

}  // namespace daisywind::kv
