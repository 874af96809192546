#include "standin/fault_table.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace daisywind::standin {
namespace {

struct kind_name {
  fault_kind kind;
  std::string_view name;
};

constexpr auto kKindNames = std::to_array<kind_name>({
    {fault_kind::kRefuse, "refuse"},
    {fault_kind::kStall, "stall"},
    {fault_kind::kCrash, "crash"},
    {fault_kind::kLoseAnswer, "lose_answer"},
    {fault_kind::kCutStream, "cut_stream"},
    {fault_kind::kSlow, "slow"},
});

auto AppliesTo(const fault& item, const net::http_request& request) -> bool {
  return request.Path().starts_with(item.path_prefix) &&
         request.body.find(item.body_contains) != std::string::npos;
}

}  // namespace

auto ParseFault(const json::object& object) -> std::optional<fault> {
  const auto name = StringOr(object, "kind", "");
  const auto* found =
      std::find_if(kKindNames.begin(), kKindNames.end(),
                   [&](const kind_name& item) { return item.name == name; });
  if (found == kKindNames.end()) {
    return std::nullopt;
  }
  auto item = fault{};
  item.kind = found->kind;
  item.count = IntegerOr(object, "count", 1);
  const auto after_bytes = IntegerOr(object, "after_bytes", -1);
  if (after_bytes >= 0) {
    item.after_bytes = static_cast<std::size_t>(after_bytes);
  }
  item.delay = std::chrono::milliseconds(IntegerOr(object, "delay_ms", 0));
  item.path_prefix = StringOr(object, "path", "");
  item.body_contains = StringOr(object, "body_contains", "");
  return item;
}

auto FaultName(fault_kind kind) -> std::string_view {
  const auto* found =
      std::find_if(kKindNames.begin(), kKindNames.end(),
                   [&](const kind_name& item) { return item.kind == kind; });
  return found == kKindNames.end() ? "unknown" : found->name;
}

auto fault_table::Add(fault item) -> void {
  if (item.count != 0) {
    faults_.push_back(std::move(item));
  }
}

auto fault_table::Clear() -> void {
  faults_.clear();
}

auto fault_table::Take(const net::http_request& request)
    -> std::optional<fault> {
  const auto found =
      std::find_if(faults_.begin(), faults_.end(),
                   [&](const fault& item) { return AppliesTo(item, request); });
  if (found == faults_.end()) {
    return std::nullopt;
  }
  auto taken = *found;
  if (found->count > 0 && --found->count == 0) {
    faults_.erase(found);
  }
  return taken;
}

}  // namespace daisywind::standin
