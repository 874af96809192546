#include "common/settings.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <optional>
#include <sstream>

#include "common/logging.h"

namespace daisywind {
namespace {

template <class T>
auto EraseType(const setting<T>& item, setting_value fallback)
    -> setting_declaration {
  return {std::string(item.key), std::move(fallback), std::string(item.help),
          item.minimum,          item.maximum,        item.is_required};
}

auto TypeName(const setting_value& value) -> std::string {
  switch (value.index()) {
    case 0:
      return "true or false";
    case 1:
      return "an integer";
    case 2:
      return "a string";
    case 4:
      return "a number";
    default:
      return "a list of strings";
  }
}

auto DescribeAllowed(const setting_declaration& item) -> std::string {
  const auto has_range = std::holds_alternative<std::int64_t>(item.fallback) ||
                         std::holds_alternative<double>(item.fallback);
  if (!has_range) {
    return TypeName(item.fallback);
  }
  return TypeName(item.fallback) + " from " + std::to_string(item.minimum) +
         " to " + std::to_string(item.maximum);
}

auto ParseList(const json::value& value) -> std::optional<setting_value> {
  const auto* array = value.if_array();
  if (array == nullptr) {
    return std::nullopt;
  }
  auto list = string_list{};
  for (const auto& entry : *array) {
    if (!entry.is_string()) {
      return std::nullopt;
    }
    list.emplace_back(entry.get_string());
  }
  return list;
}

auto ParseInteger(const setting_declaration& item, const json::value& value)
    -> std::optional<setting_value> {
  if (!value.is_int64() && !value.is_uint64()) {
    return std::nullopt;
  }
  auto error = json::error_code{};
  const auto number = value.to_number<std::int64_t>(error);
  if (error || number < item.minimum || number > item.maximum) {
    return std::nullopt;
  }
  return number;
}

auto ParseNumber(const setting_declaration& item, const json::value& value)
    -> std::optional<setting_value> {
  if (!value.is_number()) {
    return std::nullopt;
  }
  const auto number = value.to_number<double>();
  const auto is_in_range = number >= static_cast<double>(item.minimum) &&
                           number <= static_cast<double>(item.maximum);
  return is_in_range ? std::optional<setting_value>(number) : std::nullopt;
}

auto ParseValue(const setting_declaration& item, const json::value& value)
    -> std::optional<setting_value> {
  if (std::holds_alternative<bool>(item.fallback)) {
    return value.is_bool() ? std::optional<setting_value>(value.get_bool())
                           : std::nullopt;
  }
  if (std::holds_alternative<std::int64_t>(item.fallback)) {
    return ParseInteger(item, value);
  }
  if (std::holds_alternative<double>(item.fallback)) {
    return ParseNumber(item, value);
  }
  if (std::holds_alternative<std::string>(item.fallback)) {
    return value.is_string()
               ? std::optional<setting_value>(std::string(value.get_string()))
               : std::nullopt;
  }
  return ParseList(value);
}

auto ParseOverride(const setting_declaration& item, const std::string& text)
    -> json::value {
  if (std::holds_alternative<std::string>(item.fallback)) {
    return json::value(text);
  }
  auto error = json::error_code{};
  auto value = json::parse(text, error);
  return error ? json::value(text) : value;
}

auto ToJson(const setting_value& value) -> json::value {
  return std::visit([](const auto& item) { return json::value_from(item); },
                    value);
}

}  // namespace

auto ToString(const settings_error& error) -> std::string {
  return error.file + ": " + error.key + ": found " + error.found +
         ", expected " + error.expected;
}

auto Declare(const bool_setting& item) -> setting_declaration {
  return EraseType(item, item.fallback);
}

auto Declare(const integer_setting& item) -> setting_declaration {
  return EraseType(item, item.fallback);
}

auto Declare(const number_setting& item) -> setting_declaration {
  return EraseType(item, item.fallback);
}

auto Declare(const string_setting& item) -> setting_declaration {
  return EraseType(item, std::string(item.fallback));
}

auto DeclareList(const list_setting& item) -> setting_declaration {
  return EraseType(item, string_list{});
}

settings::settings(settings_schema schema) : schema_(std::move(schema)) {
  for (const auto& item : schema_) {
    values_[item.key] = item.fallback;
  }
}

auto settings::AddFile(const std::string& path) -> leaf::result<void> {
  auto stream = std::ifstream(path);
  if (!stream) {
    return leaf::new_error(settings_error{path, "(file)", "no readable file",
                                          "a readable JSON file"});
  }
  const auto text = std::string(std::istreambuf_iterator<char>(stream),
                                std::istreambuf_iterator<char>());
  return AddText(path, text);
}

auto settings::AddText(const std::string& name, std::string_view text)
    -> leaf::result<void> {
  last_file_ = name;
  auto error = json::error_code{};
  const auto value = json::parse({text.data(), text.size()}, error);
  if (error) {
    return leaf::new_error(
        settings_error{name, "(file)", error.message(), "a JSON object"});
  }
  if (!value.is_object()) {
    return leaf::new_error(settings_error{
        name, "(file)", json::serialize(value), "a JSON object"});
  }
  return AddObject(name, "", value.get_object());
}

auto settings::AddOverride(std::string_view assignment) -> leaf::result<void> {
  const auto position = assignment.find('=');
  const auto key = std::string(assignment.substr(0, position));
  const auto* item = FindDeclaration(key);
  if (position == std::string_view::npos || item == nullptr) {
    return leaf::new_error(settings_error{"command line", key,
                                          std::string(assignment),
                                          "KEY=VALUE with a declared key"});
  }
  const auto text = std::string(assignment.substr(position + 1));
  return AddValue("command line", key, ParseOverride(*item, text));
}

auto settings::CheckRequired() const -> leaf::result<void> {
  for (const auto& item : schema_) {
    if (item.is_required && !is_given_.contains(item.key)) {
      return leaf::new_error(settings_error{last_file_, item.key, "nothing",
                                            DescribeAllowed(item)});
    }
  }
  return {};
}

auto settings::Get(const bool_setting& item) const -> bool {
  return std::get<bool>(values_.at(std::string(item.key)));
}

auto settings::Get(const integer_setting& item) const -> std::int64_t {
  return std::get<std::int64_t>(values_.at(std::string(item.key)));
}

auto settings::Get(const number_setting& item) const -> double {
  return std::get<double>(values_.at(std::string(item.key)));
}

auto settings::Get(const string_setting& item) const -> std::string {
  return std::get<std::string>(values_.at(std::string(item.key)));
}

auto settings::GetList(const list_setting& item) const -> string_list {
  return std::get<string_list>(values_.at(std::string(item.key)));
}

auto settings::Print() const -> std::string {
  auto object = json::object{};
  for (const auto& [key, value] : values_) {
    object[key] = ToJson(value);
  }
  return json::serialize(object);
}

auto settings::AddObject(const std::string& file,
                         const std::string& prefix,
                         const json::object& object) -> leaf::result<void> {
  for (const auto& [name, value] : object) {
    const auto key = prefix + std::string(name);
    if (value.is_object() && HasSection(key + ".")) {
      BOOST_LEAF_CHECK(AddObject(file, key + ".", value.get_object()));
    } else {
      BOOST_LEAF_CHECK(AddValue(file, key, value));
    }
  }
  return {};
}

auto settings::AddValue(const std::string& file,
                        const std::string& key,
                        const json::value& value) -> leaf::result<void> {
  const auto* item = FindDeclaration(key);
  if (item == nullptr) {
    return leaf::new_error(
        settings_error{file, key, "an unknown key", "a declared setting"});
  }
  auto parsed = ParseValue(*item, value);
  if (!parsed) {
    return leaf::new_error(settings_error{file, key, json::serialize(value),
                                          DescribeAllowed(*item)});
  }
  values_[key] = std::move(*parsed);
  is_given_[key] = true;
  return {};
}

auto settings::FindDeclaration(const std::string& key) const
    -> const setting_declaration* {
  const auto found = std::find_if(
      schema_.begin(), schema_.end(),
      [&](const setting_declaration& item) { return item.key == key; });
  return found == schema_.end() ? nullptr : &*found;
}

auto settings::HasSection(const std::string& prefix) const -> bool {
  return std::any_of(schema_.begin(), schema_.end(),
                     [&](const setting_declaration& item) {
                       return item.key.starts_with(prefix);
                     });
}

}  // namespace daisywind
