#include "policy/endpoint_table.h"

#include <algorithm>
#include <utility>

namespace daisywind::policy {
namespace {

// Lets a short queue form at the endpoint, which keeps it busy between two
// scheduling decisions.
constexpr auto kOvercommit = 1.25;
constexpr auto kMinLimitFactor = 0.25;
constexpr auto kProbationLimit = 1.0;

}  // namespace

auto endpoint_table::FindOrAddRow(const endpoint_id& id) -> endpoint_index {
  const auto found = rows_.find(id);
  if (found != rows_.end()) {
    return found->second;
  }
  auto row = static_cast<endpoint_index>(entries_.size());
  entries_.emplace_back();
  rows_.emplace(id, row);
  return row;
}

auto endpoint_table::Set(const std::vector<endpoint_info>& endpoints) -> void {
  for (auto& entry : entries_) {
    entry.is_present = false;
  }
  for (const auto& info : endpoints) {
    auto& entry = entries_[FindOrAddRow(info.id)];
    const auto was_serving = entry.info.role == endpoint_role::kServing;
    entry.is_present = true;
    entry.is_local = info.region == region_;
    if (!was_serving || info.role != endpoint_role::kServing) {
      entry.is_leaving = false;
    }
    entry.info = info;
  }
  for (auto& entry : entries_) {
    if (!entry.is_present) {
      entry.info.role = endpoint_role::kEmpty;
    }
  }
}

auto endpoint_table::ApplyReport(const load_report& report) -> void {
  const auto row = Find(report.endpoint);
  if (!row) {
    return;
  }
  auto& entry = entries_[*row];
  if (report.measured < entry.report.measured) {
    return;
  }
  entry.report = report;
  while (!entry.changes.empty() &&
         entry.changes.front().at <= report.measured) {
    entry.unreported -= entry.changes.front().delta;
    entry.changes.pop_front();
  }
}

auto endpoint_table::SetLeaving(const endpoint_id& id) -> void {
  if (const auto row = Find(id)) {
    entries_[*row].is_leaving = true;
  }
}

auto endpoint_table::ChangeLoad(endpoint_index index,
                                std::int32_t delta,
                                instant now) -> void {
  constexpr auto kMaxChanges = std::size_t{4096};
  auto& entry = entries_[index];
  entry.own_in_flight += delta;
  entry.unreported += delta;
  entry.changes.push_back({now, delta});
  if (entry.changes.size() > kMaxChanges) {
    entry.unreported -= entry.changes.front().delta;
    entry.changes.pop_front();
  }
}

auto endpoint_table::EstimatedLoad(endpoint_index index) const -> double {
  const auto& entry = entries_[index];
  const auto reported = entry.report.running + entry.report.queued;
  const auto corrected = static_cast<std::int64_t>(reported) + entry.unreported;
  return static_cast<double>(
      std::max<std::int64_t>(corrected, entry.own_in_flight));
}

auto endpoint_table::ConcurrencyLimit(endpoint_index index) const -> double {
  const auto& entry = entries_[index];
  if (entry.health.state() == health_state::kProbation) {
    return kProbationLimit;
  }
  const auto relative = entry.peer_slowdown / entry.health.slowdown();
  const auto factor = std::clamp(relative, kMinLimitFactor, 1.0);
  return std::max(1.0, kOvercommit * factor * entry.info.capacity);
}

auto endpoint_table::IsUsable(endpoint_index index) const -> bool {
  const auto& entry = entries_[index];
  return entry.is_present && !entry.is_leaving &&
         entry.info.role == endpoint_role::kServing &&
         entry.health.state() != health_state::kEjected;
}

auto endpoint_table::HasRoom(endpoint_index index) const -> bool {
  return EstimatedLoad(index) + 1.0 <= ConcurrencyLimit(index);
}

auto endpoint_table::Find(const endpoint_id& id) const
    -> std::optional<endpoint_index> {
  const auto found = rows_.find(id);
  if (found == rows_.end()) {
    return std::nullopt;
  }
  return found->second;
}

}  // namespace daisywind::policy
