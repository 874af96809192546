#include "migration/endpoint_table.h"

#include <algorithm>

namespace daisywind::migration {
namespace {

auto SetSince(std::optional<instant>& since, bool holds, instant at) -> void {
  if (!holds) {
    since.reset();
  } else if (!since) {
    since = at;
  }
}

auto ApplyEndpoint(endpoint_row& row,
                   const wanted_endpoint& wanted,
                   instant now) -> void {
  if (row.wanted.address != wanted.address) {
    // A different process: what was known of the previous one does not apply.
    row = endpoint_row{};
  }
  if (row.wanted.role != wanted.role || row.wanted.id.empty()) {
    row.wanted_since = now;
  }
  if (row.wanted != wanted) {
    row.next_read = std::min(row.next_read, now);
  }
  row.wanted = wanted;
  row.is_configured = true;
  if (!ServesWanted(row)) {
    row.serving_since.reset();
  }
}

auto ApplyRemoval(endpoint_row& row, instant now) -> void {
  if (!row.is_configured) {
    return;
  }
  row.is_configured = false;
  if (row.wanted.role != endpoint_role::kEmpty) {
    row.wanted.role = endpoint_role::kEmpty;
    row.wanted_since = now;
  }
  row.next_read = now;
}

}  // namespace

auto ApplyWanted(endpoint_table& table, const wanted_state& wanted, instant now)
    -> void {
  auto listed = std::set<endpoint_id>{};
  for (const auto& endpoint : wanted.endpoints) {
    listed.insert(endpoint.id);
    ApplyEndpoint(table[endpoint.id], endpoint, now);
  }
  for (auto& [id, row] : table) {
    if (!listed.contains(id)) {
      ApplyRemoval(row, now);
    }
  }
}

auto ApplyReport(endpoint_row& row,
                 const engine_state& input,
                 const migration_options& options) -> void {
  if (row.observed && input.asked_at < row.observed->asked_at) {
    return;
  }
  const auto is_first = !row.observed;
  const auto is_after_gap = !is_first && !IsFresh(row, input.asked_at);
  row.observed = observation{input.report, input.asked_at};
  row.report_validity = options.report_lifetime + row.read_interval;
  row.unreachable_since.reset();
  const auto& report = input.report;
  const auto is_serving = report.role == endpoint_role::kServing;
  const auto has_wanted_models = ShouldServe(row) ? ServesWanted(row) : true;
  if (is_after_gap && !ShouldServe(row)) {
    // Require a new warm-up, so that reports from its replacements arrive
    // first.
    row.serving_since.reset();
  }
  SetSince(row.serving_since, is_serving && has_wanted_models, input.asked_at);
  if (is_first && row.serving_since) {
    // It was serving before this VM's first report, so it counts as warm.
    row.serving_since = input.asked_at - options.warm_up;
  }
  SetSince(row.idle_since, !is_serving && report.running == 0, input.asked_at);
  SetSince(row.loading_since, !report.loading.empty(), input.asked_at);
  if (row.refused_at && input.asked_at > *row.refused_at && is_serving) {
    row.refused_at.reset();
  }
}

auto ApplyUnreachable(endpoint_row& row, instant now) -> void {
  if (!row.unreachable_since) {
    row.unreachable_since = now;
  }
}

auto ApplyVmList(endpoint_table& table, const vm_list& input) -> void {
  const auto leaving =
      std::set<endpoint_id>{input.leaving.begin(), input.leaving.end()};
  for (auto& [id, row] : table) {
    row.is_vm_leaving = leaving.contains(id);
  }
}

auto ShouldServe(const endpoint_row& row) -> bool {
  return row.is_configured && !row.is_vm_leaving &&
         row.wanted.role == endpoint_role::kServing;
}

auto ServesWanted(const endpoint_row& row) -> bool {
  if (!row.observed) {
    return false;
  }
  const auto& report = row.observed->report;
  const auto& models = row.wanted.models;
  return std::all_of(models.begin(), models.end(), [&](const model_id& model) {
    return report.models.contains(model) &&
           !report.loading.contains(model.value);
  });
}

auto NamesServed(const endpoint_row& row) -> std::set<std::string> {
  auto names = std::set<std::string>{};
  if (!row.observed) {
    return names;
  }
  if (row.wanted.kind == endpoint_kind::kService) {
    return row.wanted.services;
  }
  for (const auto& [model, version] : row.observed->report.models) {
    if (!row.observed->report.loading.contains(model.value)) {
      names.insert(model.value);
    }
  }
  return names;
}

auto IsServing(const endpoint_row& row, instant now) -> bool {
  const auto is_interrupted = row.last_order && row.last_order->is_disruptive &&
                              row.observed &&
                              row.observed->asked_at <= row.last_order->sent_at;
  return IsFresh(row, now) && !row.is_vm_leaving && !row.refused_at &&
         !is_interrupted && row.is_configured &&
         row.observed->report.role == endpoint_role::kServing;
}

auto IsFresh(const endpoint_row& row, instant now) -> bool {
  return row.observed && now - row.observed->asked_at <= row.report_validity;
}

}  // namespace daisywind::migration
