#include "common/json.h"

namespace daisywind {

auto ParseJson(std::string_view text) -> leaf::result<json::value> {
  auto options = json::parse_options{};
  options.max_depth = kMaxJsonDepth;
  auto error = json::error_code{};
  auto value = json::parse({text.data(), text.size()}, error, {}, options);
  if (error) {
    return leaf::new_error(document_error{"", error.message()});
  }
  return value;
}

auto StringOr(const json::object& object,
              std::string_view key,
              std::string_view fallback) -> std::string {
  const auto* member = object.if_contains(key);
  if (member == nullptr || !member->is_string()) {
    return std::string(fallback);
  }
  return {member->get_string().data(), member->get_string().size()};
}

auto IntegerOr(const json::object& object,
               std::string_view key,
               std::int64_t fallback) -> std::int64_t {
  const auto* member = object.if_contains(key);
  if (member == nullptr) {
    return fallback;
  }
  auto error = json::error_code{};
  const auto number = member->to_number<std::int64_t>(error);
  return error ? fallback : number;
}

auto BoolOr(const json::object& object, std::string_view key, bool fallback)
    -> bool {
  const auto* member = object.if_contains(key);
  return member != nullptr && member->is_bool() ? member->get_bool() : fallback;
}

auto ObjectOrNull(const json::object& object, std::string_view key)
    -> const json::object* {
  const auto* member = object.if_contains(key);
  return member == nullptr ? nullptr : member->if_object();
}

auto ArrayOrNull(const json::object& object, std::string_view key)
    -> const json::array* {
  const auto* member = object.if_contains(key);
  return member == nullptr ? nullptr : member->if_array();
}

}  // namespace daisywind
