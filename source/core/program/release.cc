#include "program/release.h"

#include <utility>
#include <vector>

#include "program/lifecycle.h"
#include "program/replication.h"

namespace daisywind::program {
namespace {

// Cancels the attempts of chat calls whose results are unknown, because they
// may still run and hold memory.
auto CancelUnsettled(system_tables& tables, const program_copy& copy) -> void {
  for (const auto& [name, branch] : copy.state.branches) {
    for (const auto& [turn, call] : branch.calls) {
      const auto may_run =
          call.kind == call_kind::kChat && call.phase == call_phase::kIntended;
      if (may_run) {
        const auto ref = call_ref{copy.state.id, name, turn};
        tables.out.emplace_back(
            cancel_attempt{attempt_ref{ref, call.attempt}, call.endpoint});
      }
    }
  }
}

auto IsInUse(const program_copy& copy, const endpoint_id& endpoint) -> bool {
  for (const auto& [key, call] : copy.live) {
    if (call.endpoint == endpoint) {
      return true;
    }
  }
  return false;
}

// The endpoints of the last call of each open branch, and of all calls without
// a result.
auto LastEndpoints(const program_copy& copy) -> std::set<endpoint_id> {
  auto last = std::set<endpoint_id>{};
  for (const auto& [name, branch] : copy.state.branches) {
    const auto found = branch.calls.find(branch.last_turn);
    if (found != branch.calls.end() && !branch.is_joined) {
      last.insert(found->second.endpoint);
    }
    for (const auto& [turn, call] : branch.calls) {
      if (call.phase == call_phase::kIntended) {
        last.insert(call.endpoint);
      }
    }
  }
  return last;
}

}  // namespace

auto StartRelease(system_tables& tables, const release_key& key) -> void {
  const auto is_new = tables.releases.emplace(key, tables.now).second;
  tables.out.emplace_back(release_memory{key.endpoint, key.program});
  if (is_new) {
    Arm(tables, tables.now + tables.options.release_period, release_timer{key});
  }
}

auto CancelRelease(system_tables& tables, const release_key& key) -> void {
  tables.releases.erase(key);
}

auto CheckRelease(system_tables& tables, const release_key& key) -> void {
  if (tables.releases.count(key) == 0) {
    return;
  }
  if (const auto* copy = FindOwned(tables, key.program)) {
    if (copy->is_releasing) {
      CancelUnsettled(tables, *copy);
    }
  }
  tables.out.emplace_back(release_memory{key.endpoint, key.program});
  Arm(tables, tables.now + tables.options.release_period, release_timer{key});
}

auto ReleaseUnused(system_tables& tables, program_copy& copy) -> void {
  if (copy.state.is_ended) {
    return;
  }
  const auto used = LastEndpoints(copy);
  for (const auto& endpoint : copy.state.holders) {
    if (used.count(endpoint) == 0 && !IsInUse(copy, endpoint)) {
      StartRelease(tables, release_key{endpoint, copy.state.id});
    }
  }
}

auto ReleaseAll(system_tables& tables, program_copy& copy) -> void {
  if (copy.is_releasing) {
    return;
  }
  copy.is_releasing = true;
  if (tables.options.mutations.skip_release) {
    copy.state.holders.clear();
    return;
  }
  CancelUnsettled(tables, copy);
  for (const auto& endpoint : copy.state.holders) {
    CancelRelease(tables, release_key{endpoint, copy.state.id});
    StartRelease(tables, release_key{endpoint, copy.state.id});
  }
}

auto AddHolder(system_tables& tables,
               program_copy& copy,
               const endpoint_id& endpoint) -> void {
  copy.state.holders.insert(endpoint);
  if (copy.is_releasing) {
    StartRelease(tables, release_key{endpoint, copy.state.id});
  }
}

auto OnReleaseConfirmed(system_tables& tables, const release_key& key) -> void {
  if (tables.releases.erase(key) == 0) {
    return;
  }
  auto* copy = FindOwned(tables, key.program);
  if (copy == nullptr || !MayAct(*copy)) {
    return;
  }
  if (copy->is_releasing) {
    copy->state.holders.erase(key.endpoint);
    CheckEnding(tables, *copy);
    return;
  }
  Append(tables, *copy, holder_released{key.endpoint});
}

auto OnEndpointRestarted(system_tables& tables, const endpoint_id& endpoint)
    -> void {
  auto keys = std::vector<release_key>{};
  for (const auto& [key, since] : tables.releases) {
    if (key.endpoint == endpoint) {
      keys.push_back(key);
    }
  }
  for (const auto& key : keys) {
    OnReleaseConfirmed(tables, key);
  }
}

}  // namespace daisywind::program
