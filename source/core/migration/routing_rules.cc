#include "migration/routing_rules.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <set>
#include <string_view>

namespace daisywind::migration {
namespace {

auto CountOf(const ready_counts& counts, const std::string& name)
    -> std::uint32_t {
  const auto found = counts.find(name);
  return found == counts.end() ? 0 : found->second;
}

// Names with fewer ready endpoints than their `need`.
auto NamesBelowNeed(const ready_counts& ready, const wanted_state& wanted)
    -> std::set<std::string> {
  auto names = std::set<std::string>{};
  for (const auto& [name, count] : wanted.need) {
    if (CountOf(ready, name) < count) {
      names.insert(name);
    }
  }
  return names;
}

auto ServesAny(const endpoint_row& row, const std::set<std::string>& names)
    -> bool {
  const auto served = NamesServed(row);
  return std::any_of(
      served.begin(), served.end(),
      [&](const std::string& name) { return names.contains(name); });
}

// Whether the endpoint leaves by configuration only, on a VM that stays, and
// has a recent report. After a pause or a partition this VM can't know whether
// the replacements have taken over, so it sends nothing to leaving endpoints
// until reports arrive again.
auto MayBeRetained(const endpoint_row& row, instant now) -> bool {
  return row.is_configured && !row.is_vm_leaving &&
         row.wanted.role != endpoint_role::kServing && IsFresh(row, now);
}

// Whether a draining endpoint may resume serving. The configured role draining
// is an explicit decision of the operator and is not reverted.
auto MayResumeServing(const endpoint_row& row) -> bool {
  return row.wanted.role == endpoint_role::kEmpty &&
         row.observed->report.role == endpoint_role::kDraining;
}

auto CountNames(ready_counts& counts, const endpoint_row& row) -> void {
  for (const auto& name : NamesServed(row)) {
    ++counts[name];
  }
}

auto IsWarm(const endpoint_row& row, const migration_options& options) -> bool {
  return row.serving_since && row.observed &&
         row.observed->asked_at - *row.serving_since >= options.warm_up;
}

auto ReasonFor(const endpoint_row& row,
               instant now,
               const migration_options& options) -> routing_reason {
  if (!row.is_configured) {
    return routing_reason::kNotConfigured;
  }
  if (row.is_vm_leaving) {
    return routing_reason::kLeavingByVmList;
  }
  if (row.refused_at) {
    return routing_reason::kLeavingByRefusal;
  }
  if (row.wanted.role != endpoint_role::kServing && !row.is_retained) {
    return routing_reason::kLeavingByConfiguration;
  }
  if (!row.observed) {
    return routing_reason::kNotSeen;
  }
  if (row.unreachable_since &&
      now - *row.unreachable_since >= options.report_lifetime) {
    return routing_reason::kUnreachable;
  }
  if (row.observed->report.role != endpoint_role::kServing) {
    return routing_reason::kLeavingByRefusal;
  }
  if (!row.is_retained && !ServesWanted(row)) {
    return routing_reason::kNotLoaded;
  }
  return IsWarm(row, options) ? routing_reason::kOpen
                              : routing_reason::kWarming;
}

}  // namespace

auto CountReady(const endpoint_table& table,
                const wanted_state& wanted,
                instant now,
                const migration_options& options) -> ready_counts {
  auto counts = ready_counts{};
  for (const auto& [id, row] : table) {
    if (!IsReady(row, wanted, now, options)) {
      continue;
    }
    for (const auto& name : ServedNames(row.wanted)) {
      if (wanted.need.contains(name)) {
        ++counts[name];
      }
    }
  }
  return counts;
}

auto MarkRetainedEndpoints(endpoint_table& table,
                           const wanted_state& wanted,
                           instant now,
                           const migration_options& options) -> void {
  const auto ready = CountReady(table, wanted, now, options);
  const auto names_below_need = NamesBelowNeed(ready, wanted);
  auto serving = ready;
  for (auto& [id, row] : table) {
    row.is_retained = MayBeRetained(row, now) && IsServing(row, now) &&
                      ServesAny(row, names_below_need);
    if (row.is_retained) {
      CountNames(serving, row);
    }
  }
  for (auto& [id, row] : table) {
    if (row.is_retained || !MayBeRetained(row, now) || !MayResumeServing(row)) {
      continue;
    }
    if (ServesAny(row, NamesBelowNeed(serving, wanted))) {
      row.is_retained = true;
      CountNames(serving, row);
    }
  }
}

auto DecideRouting(const endpoint_row& row,
                   instant now,
                   const migration_options& options) -> routing_state {
  const auto reason = ReasonFor(row, now, options);
  return {row.wanted.id, reason == routing_reason::kOpen, reason};
}

auto IsReady(const endpoint_row& row,
             const wanted_state& wanted,
             instant now,
             const migration_options& options) -> bool {
  if (!ShouldServe(row) || !IsServing(row, now) || !IsWarm(row, options)) {
    return false;
  }
  return row.wanted.kind == endpoint_kind::kService ||
         HasLoaded(row.observed->report,
                   OrderFor(wanted, row.wanted, endpoint_role::kServing));
}

auto ToString(routing_reason reason) -> std::string_view {
  constexpr auto kNames =
      std::array<std::string_view, 9>{"open",
                                      "not seen",
                                      "unreachable",
                                      "not loaded",
                                      "warming",
                                      "leaving by configuration",
                                      "leaving by VM list",
                                      "leaving by refusal",
                                      "not configured"};
  return kNames.at(static_cast<std::size_t>(reason));
}

}  // namespace daisywind::migration
