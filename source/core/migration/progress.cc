#include "migration/progress.h"

#include <algorithm>
#include <array>
#include <cstddef>

#include "migration/routing_rules.h"

namespace daisywind::migration {
namespace {

constexpr auto kPercent = std::uint32_t{100};

auto Seconds(duration time) -> std::string {
  return std::to_string(
             std::chrono::duration_cast<std::chrono::seconds>(time).count()) +
         " s";
}

auto Join(const std::set<std::string>& names) -> std::string {
  auto text = std::string{};
  for (const auto& name : names) {
    text += text.empty() ? name : ", " + name;
  }
  return text;
}

auto ServingPhase(const endpoint_row& row,
                  const wanted_state& wanted,
                  instant now,
                  const migration_options& options) -> endpoint_phase {
  if (IsReady(row, wanted, now, options)) {
    return endpoint_phase::kServing;
  }
  const auto& report = row.observed->report;
  if (!report.loading.empty()) {
    return endpoint_phase::kLoading;
  }
  const auto is_loaded =
      row.wanted.kind == endpoint_kind::kService ||
      HasLoaded(report, OrderFor(wanted, row.wanted, endpoint_role::kServing));
  const auto is_warming =
      is_loaded && report.role == endpoint_role::kServing && !row.refused_at;
  return is_warming ? endpoint_phase::kWarming : endpoint_phase::kWaitingToLoad;
}

// A plain service takes no orders. It is drained once every VM has had time to
// close it to new work and it has nothing running.
auto ServiceLeavingPhase(const endpoint_row& row,
                         const migration_options& options) -> endpoint_phase {
  const auto is_closed =
      row.observed->asked_at >= row.closed_since + options.drain_idle_period;
  if (!is_closed || row.observed->report.running > 0) {
    return endpoint_phase::kDraining;
  }
  return row.wanted.role == endpoint_role::kEmpty ? endpoint_phase::kEmpty
                                                  : endpoint_phase::kDrained;
}

auto LeavingPhase(const endpoint_row& row, const migration_options& options)
    -> endpoint_phase {
  if (row.is_retained) {
    return endpoint_phase::kRetained;
  }
  if (row.wanted.kind == endpoint_kind::kService) {
    return ServiceLeavingPhase(row, options);
  }
  const auto& report = row.observed->report;
  if (report.role == endpoint_role::kServing || report.running > 0) {
    return endpoint_phase::kDraining;
  }
  if (row.wanted.role != endpoint_role::kEmpty) {
    return endpoint_phase::kDrained;
  }
  if (report.sessions > 0) {
    return endpoint_phase::kReleasing;
  }
  const auto is_empty = IsEmpty(report) && report.role == endpoint_role::kEmpty;
  return is_empty ? endpoint_phase::kEmpty : endpoint_phase::kUnloading;
}

auto IsFinal(endpoint_phase phase) -> bool {
  return phase == endpoint_phase::kServing ||
         phase == endpoint_phase::kDrained || phase == endpoint_phase::kEmpty;
}

auto RetentionText(const endpoint_row& row,
                   const wanted_state& wanted,
                   const ready_counts& ready) -> std::string {
  auto text = std::string{};
  for (const auto& name : NamesServed(row)) {
    const auto need = wanted.need.find(name);
    const auto count = ready.contains(name) ? ready.at(name) : 0;
    if (need == wanted.need.end() || count >= need->second) {
      continue;
    }
    text += (text.empty() ? "" : ", ") + name + ": " + std::to_string(count) +
            " of " + std::to_string(need->second) + " needed are ready";
  }
  return text;
}

auto UnknownText(const endpoint_row& row, instant now) -> std::string {
  if (row.unreachable_since) {
    return "no answer for " + Seconds(now - *row.unreachable_since);
  }
  return row.observed ? "no recent report" : "not seen yet";
}

auto WaitingText(const endpoint_row& row) -> std::string {
  if (row.refused_at || row.observed->report.role != endpoint_role::kServing) {
    return "the engine does not take the role serving yet";
  }
  return row.last_order ? "the order to load has no effect yet"
                        : "waits for its turn at the weight store";
}

auto BlockingReason(const endpoint_row& row,
                    endpoint_phase phase,
                    const wanted_state& wanted,
                    const ready_counts& ready,
                    instant now) -> std::string {
  switch (phase) {
    case endpoint_phase::kUnknown:
      return UnknownText(row, now);
    case endpoint_phase::kWaitingToLoad:
      return WaitingText(row);
    case endpoint_phase::kLoading:
      return "loading " + Join(row.observed->report.loading) + " for " +
             Seconds(now - row.loading_since.value_or(now));
    case endpoint_phase::kWarming:
      return "warming up";
    case endpoint_phase::kRetained:
      return RetentionText(row, wanted, ready);
    case endpoint_phase::kDraining:
      return row.observed->report.running > 0
                 ? std::to_string(row.observed->report.running) +
                       " requests are running"
                 : "the engine has not taken the role draining yet";
    case endpoint_phase::kReleasing:
      return std::to_string(row.observed->report.sessions) +
             " programs hold memory";
    case endpoint_phase::kUnloading:
      return "unloading";
    case endpoint_phase::kServing:
    case endpoint_phase::kDrained:
    case endpoint_phase::kEmpty:
      return "";
  }
  return "";
}

auto DescribeEndpoint(const endpoint_row& row,
                      const wanted_state& wanted,
                      const ready_counts& ready,
                      instant now,
                      const migration_options& options) -> endpoint_progress {
  auto item = endpoint_progress{};
  item.endpoint = row.wanted.id;
  item.failure_domain = row.wanted.failure_domain;
  item.wanted = row.wanted.role;
  item.phase = PhaseOf(row, wanted, now, options);
  item.is_done = IsFinal(item.phase);
  item.is_vm_leaving = row.is_vm_leaving;
  item.held_up_by = BlockingReason(row, item.phase, wanted, ready, now);
  if (row.observed) {
    item.running = row.observed->report.running;
    item.sessions = row.observed->report.sessions;
    item.report_age = now - row.observed->asked_at;
  }
  return item;
}

auto Count(group_progress& group, bool is_done) -> void {
  ++group.total;
  group.done += is_done ? 1 : 0;
}

auto CountGroups(migration_progress& progress,
                 const endpoint_row& row,
                 bool is_done) -> void {
  Count(progress.failure_domains[row.wanted.failure_domain], is_done);
  for (const auto& name : ServedNames(row.wanted)) {
    Count(progress.models[name], is_done);
  }
  for (const auto& adapter : row.wanted.adapters) {
    Count(progress.adapters[adapter.value], is_done);
  }
}

auto IsEvacuationComplete(const std::vector<endpoint_progress>& endpoints)
    -> bool {
  auto count = std::size_t{0};
  for (const auto& item : endpoints) {
    if (item.wanted != endpoint_role::kEmpty) {
      continue;
    }
    if (item.phase != endpoint_phase::kEmpty) {
      return false;
    }
    ++count;
  }
  return count > 0;
}

}  // namespace

auto PhaseOf(const endpoint_row& row,
             const wanted_state& wanted,
             instant now,
             const migration_options& options) -> endpoint_phase {
  // After a report from before the role was wanted, work or orders of the
  // earlier version may still have reached the endpoint.
  const auto is_current =
      IsFresh(row, now) && row.observed->asked_at >= row.wanted_since;
  if (!is_current) {
    return endpoint_phase::kUnknown;
  }
  return ShouldServe(row) ? ServingPhase(row, wanted, now, options)
                          : LeavingPhase(row, options);
}

auto BuildProgress(const endpoint_table& table,
                   const wanted_state& wanted,
                   instant accepted_at,
                   instant now,
                   const migration_options& options) -> migration_progress {
  auto progress = migration_progress{};
  progress.version = wanted.version;
  progress.elapsed = now - accepted_at;
  progress.deadline = wanted.deadline;
  const auto ready = CountReady(table, wanted, now, options);
  auto done = std::uint32_t{0};
  for (const auto& [id, row] : table) {
    auto item = DescribeEndpoint(row, wanted, ready, now, options);
    done += item.is_done ? 1 : 0;
    CountGroups(progress, row, item.is_done);
    progress.endpoints.push_back(std::move(item));
  }
  const auto total = static_cast<std::uint32_t>(table.size());
  progress.percent = total == 0 ? kPercent : done * kPercent / total;
  progress.is_overdue = done < total && wanted.deadline > duration{0} &&
                        progress.elapsed > wanted.deadline;
  progress.is_evacuation_complete = IsEvacuationComplete(progress.endpoints);
  return progress;
}

auto IsDone(const endpoint_row& row,
            const wanted_state& wanted,
            instant now,
            const migration_options& options) -> bool {
  return IsFinal(PhaseOf(row, wanted, now, options));
}

auto ToString(endpoint_phase phase) -> std::string_view {
  constexpr auto kNames = std::array<std::string_view, 11>{
      "unknown",   "waiting to load", "loading",  "warming",
      "serving",   "held for need",   "draining", "releasing",
      "unloading", "drained",         "empty"};
  return kNames.at(static_cast<std::size_t>(phase));
}

}  // namespace daisywind::migration
