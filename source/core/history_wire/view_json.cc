#include "history_wire/view_json.h"

#include <cstdint>

#include "common/json.h"

namespace daisywind::history {

auto RenderView(const view& from) -> std::string {
  auto members = json::array{};
  for (const auto& item : from.members) {
    members.push_back(
        json::object{{"vm", item.vm.value},
                     {"disk", item.disk.value},
                     {"address", item.address},
                     {"failure_domain", item.failure_domain.value},
                     {"region", item.region.value}});
  }
  return json::serialize(
      json::object{{"number", from.number}, {"members", std::move(members)}});
}

auto ParseView(std::string_view text) -> std::optional<view> {
  auto error = json::error_code{};
  const auto value = json::parse({text.data(), text.size()}, error);
  const auto* object = error ? nullptr : value.if_object();
  if (object == nullptr) {
    return std::nullopt;
  }
  const auto number = IntegerOr(*object, "number", 0);
  const auto* members = ArrayOrNull(*object, "members");
  if (number <= 0 || members == nullptr) {
    return std::nullopt;
  }
  auto read = view{static_cast<view_number>(number), {}};
  for (const auto& item : *members) {
    const auto* fields = item.if_object();
    if (fields == nullptr) {
      return std::nullopt;
    }
    read.members.push_back(
        {vm_id(StringOr(*fields, "vm", "")),
         disk_id(StringOr(*fields, "disk", "")),
         StringOr(*fields, "address", ""),
         failure_domain_id(StringOr(*fields, "failure_domain", "")),
         region_id(StringOr(*fields, "region", ""))});
  }
  return read;
}

}  // namespace daisywind::history
