#include "control/table.h"

#include <algorithm>
#include <cstddef>
#include <string_view>
#include <vector>

namespace daisywind::control {
namespace {

using row = std::vector<std::string>;

constexpr auto kGap = std::size_t{2};
constexpr auto kIndent = std::size_t{2};

auto CellOf(const json::value& value) -> std::string {
  if (const auto* text = value.if_string()) {
    return {text->data(), text->size()};
  }
  if (value.is_null()) {
    return "-";
  }
  if (value.is_double()) {
    auto text = std::to_string(value.get_double());
    text.erase(text.find_last_not_of('0') + 1);
    return text.ends_with('.') ? text + "0" : text;
  }
  return json::serialize(value);
}

auto IsListOfObjects(const json::value& value) -> bool {
  const auto* array = value.if_array();
  return array != nullptr && !array->empty() &&
         std::all_of(array->begin(), array->end(),
                     [](const json::value& item) { return item.is_object(); });
}

auto IsMapOfObjects(const json::value& value) -> bool {
  const auto* object = value.if_object();
  return object != nullptr && !object->empty() &&
         std::all_of(object->begin(), object->end(), [](const auto& entry) {
           return entry.value().is_object();
         });
}

// Converts a map of objects to a list, with the key as the member "name" of
// each object.
auto ToList(const json::object& map) -> json::array {
  auto list = json::array{};
  for (const auto& entry : map) {
    auto item = json::object{};
    item["name"] = entry.key();
    for (const auto& member : entry.value().get_object()) {
      item[member.key()] = member.value();
    }
    list.emplace_back(std::move(item));
  }
  return list;
}

auto ColumnsOf(const json::array& list) -> row {
  auto columns = row{};
  for (const auto& item : list) {
    for (const auto& member : item.get_object()) {
      const auto name = std::string(member.key());
      if (std::find(columns.begin(), columns.end(), name) == columns.end()) {
        columns.push_back(name);
      }
    }
  }
  return columns;
}

auto RowsOf(const json::array& list, const row& columns) -> std::vector<row> {
  auto rows = std::vector<row>{columns};
  for (const auto& item : list) {
    auto cells = row{};
    for (const auto& column : columns) {
      const auto* member = item.get_object().if_contains(column);
      cells.push_back(member == nullptr ? "-" : CellOf(*member));
    }
    rows.push_back(std::move(cells));
  }
  return rows;
}

auto Align(const std::vector<row>& rows) -> std::string {
  auto widths = std::vector<std::size_t>(rows.front().size(), 0);
  for (const auto& cells : rows) {
    for (auto i = std::size_t{0}; i < cells.size(); ++i) {
      widths[i] = std::max(widths[i], cells[i].size());
    }
  }
  auto text = std::string{};
  for (const auto& cells : rows) {
    for (auto i = std::size_t{0}; i < cells.size(); ++i) {
      const auto is_last = i + 1 == cells.size();
      text += cells[i];
      text.append(is_last ? 0 : widths[i] - cells[i].size() + kGap, ' ');
    }
    text += '\n';
  }
  return text;
}

auto RenderList(const json::array& list) -> std::string {
  return Align(RowsOf(list, ColumnsOf(list)));
}

auto RenderMember(std::string_view name, const json::value& value)
    -> std::string {
  const auto title = std::string(name);
  if (IsListOfObjects(value)) {
    return title + ":\n" + RenderList(value.get_array());
  }
  if (IsMapOfObjects(value)) {
    return title + ":\n" + RenderList(ToList(value.get_object()));
  }
  return title + ": " + CellOf(value) + "\n";
}

auto AppendIndented(const json::value& value,
                    std::size_t depth,
                    std::string& text) -> void;

template <class Container, class Write>
auto AppendItems(const Container& items,
                 std::string_view brackets,
                 std::size_t depth,
                 std::string& text,
                 Write write) -> void {
  text += brackets.front();
  auto is_first = true;
  for (const auto& item : items) {
    text += is_first ? "\n" : ",\n";
    is_first = false;
    text.append((depth + 1) * kIndent, ' ');
    write(item);
  }
  if (!is_first) {
    text += '\n';
    text.append(depth * kIndent, ' ');
  }
  text += brackets.back();
}

auto AppendIndented(const json::value& value,
                    std::size_t depth,
                    std::string& text) -> void {
  if (const auto* object = value.if_object()) {
    AppendItems(*object, "{}", depth, text, [&](const auto& entry) {
      text += json::serialize(json::value(entry.key())) + ": ";
      AppendIndented(entry.value(), depth + 1, text);
    });
  } else if (const auto* array = value.if_array()) {
    AppendItems(*array, "[]", depth, text, [&](const json::value& item) {
      AppendIndented(item, depth + 1, text);
    });
  } else {
    text += json::serialize(value);
  }
}

}  // namespace

auto RenderTable(const json::value& value) -> std::string {
  if (IsListOfObjects(value)) {
    return RenderList(value.get_array());
  }
  const auto* object = value.if_object();
  if (object == nullptr) {
    return CellOf(value) + "\n";
  }
  auto text = std::string{};
  for (const auto& member : *object) {
    text += RenderMember(member.key(), member.value());
  }
  return text;
}

auto RenderIndented(const json::value& value) -> std::string {
  auto text = std::string{};
  AppendIndented(value, 0, text);
  return text + "\n";
}

}  // namespace daisywind::control
