#include "configuration/document_reader.h"

#include <algorithm>
#include <cmath>

#include "configuration/document.h"

namespace daisywind::configuration {
namespace {

constexpr auto kMaxNameBytes = std::size_t{128};

auto ToText(const json::string& value) -> std::string {
  return {value.data(), value.size()};
}

}  // namespace

auto object_reader::Open(const json::value& value, std::string path)
    -> leaf::result<object_reader> {
  const auto* object = value.if_object();
  if (object == nullptr) {
    return leaf::new_error(
        document_error{std::move(path), "must be an object"});
  }
  return object_reader(*object, std::move(path));
}

auto object_reader::AllowOnly(
    std::initializer_list<std::string_view> names) const -> leaf::result<void> {
  for (const auto& [key, value] : *object_) {
    const auto name = std::string_view(key.data(), key.size());
    if (std::find(names.begin(), names.end(), name) == names.end()) {
      return Fail(name, "is an unknown member");
    }
  }
  return {};
}

auto object_reader::String(std::string_view name,
                           std::optional<std::string> fallback) const
    -> leaf::result<std::string> {
  const auto* member = Find(name);
  if (member == nullptr && fallback) {
    return std::move(*fallback);
  }
  if (member == nullptr) {
    return Fail(name, "is missing");
  }
  if (!member->is_string()) {
    return Fail(name, "must be a string");
  }
  return ToText(member->get_string());
}

auto object_reader::Integer(std::string_view name,
                            integer_bounds bounds,
                            std::optional<std::int64_t> fallback) const
    -> leaf::result<std::int64_t> {
  const auto* member = Find(name);
  if (member == nullptr && fallback) {
    return *fallback;
  }
  if (member == nullptr) {
    return Fail(name, "is missing");
  }
  auto error = json::error_code{};
  const auto number = member->to_number<std::int64_t>(error);
  if (error) {
    return Fail(name, "must be an integer");
  }
  if (number < bounds.minimum || number > bounds.maximum) {
    return Fail(name, "must be from " + std::to_string(bounds.minimum) +
                          " to " + std::to_string(bounds.maximum));
  }
  return number;
}

auto object_reader::Number(std::string_view name,
                           std::optional<double> fallback) const
    -> leaf::result<double> {
  const auto* member = Find(name);
  if (member == nullptr && fallback) {
    return *fallback;
  }
  if (member == nullptr) {
    return Fail(name, "is missing");
  }
  auto error = json::error_code{};
  const auto number = member->to_number<double>(error);
  if (error || !std::isfinite(number)) {
    return Fail(name, "must be a finite number");
  }
  if (number < 0) {
    return Fail(name, "must be greater than or equal to zero");
  }
  return number;
}

auto object_reader::Bool(std::string_view name, bool fallback) const
    -> leaf::result<bool> {
  const auto* member = Find(name);
  if (member == nullptr) {
    return fallback;
  }
  if (!member->is_bool()) {
    return Fail(name, "must be true or false");
  }
  return member->get_bool();
}

auto object_reader::PathOf(std::string_view name) const -> std::string {
  return AppendPointer(path_, name);
}

auto object_reader::Fail(std::string_view name, std::string reason) const
    -> leaf::error_id {
  return leaf::new_error(document_error{PathOf(name), std::move(reason)});
}

auto object_reader::Find(std::string_view name) const -> const json::value* {
  return object_->if_contains({name.data(), name.size()});
}

auto object_reader::CheckName(std::string_view name) const
    -> leaf::result<void> {
  if (name.empty() || name.size() > kMaxNameBytes) {
    return Fail(name, "must be a name of 1 to 128 bytes");
  }
  return {};
}

auto object_reader::NameTexts(std::string_view name) const
    -> leaf::result<std::set<std::string>> {
  auto names = std::set<std::string>{};
  const auto* member = Find(name);
  if (member == nullptr) {
    return names;
  }
  const auto* array = member->if_array();
  if (array == nullptr) {
    return Fail(name, "must be an array");
  }
  auto index = std::size_t{0};
  for (const auto& entry : *array) {
    const auto path = AppendPointer(PathOf(name), std::to_string(index));
    index += 1;
    if (!entry.is_string()) {
      return leaf::new_error(document_error{path, "must be a string"});
    }
    if (!names.insert(ToText(entry.get_string())).second) {
      return leaf::new_error(document_error{path, "is a duplicate entry"});
    }
  }
  return names;
}

}  // namespace daisywind::configuration
