#include "program/live_calls.h"

#include "program/calls.h"
#include "program/lifecycle.h"
#include "program/replication.h"
#include "program/replies.h"

namespace daisywind::program {

auto FindLive(system_tables& tables, const call_ref& name) -> live_entry {
  auto entry = live_entry{};
  entry.copy = FindOwned(tables, name.program);
  entry.key = {name.branch, name.turn};
  if (entry.copy == nullptr) {
    return entry;
  }
  const auto found = entry.copy->live.find(entry.key);
  if (found != entry.copy->live.end()) {
    entry.call = &found->second;
  }
  return entry;
}

auto CallRefOf(const program_copy& copy, const live_key& key) -> call_ref {
  return call_ref{copy.state.id, key.first, key.second};
}

auto ReleaseSlot(system_tables& tables,
                 const program_copy& copy,
                 const live_key& key,
                 live_call& call,
                 attempt_result result) -> void {
  if (call.has_slot) {
    tables.out.emplace_back(
        release_endpoint_slot{CallRefOf(copy, key), call.endpoint, result});
    call.has_slot = false;
  }
}

auto EraseCall(system_tables& tables, program_copy& copy, const live_key& key)
    -> void {
  copy.live.erase(key);
  AdmitWaiting(tables, copy);
  CheckEnding(tables, copy);
}

auto RefuseCall(system_tables& tables,
                program_copy& copy,
                const live_key& key,
                const problem& refusal) -> void {
  auto& call = copy.live.at(key);
  ReleaseSlot(tables, copy, key, call, attempt_result::kNotSent);
  SendProblem(tables, copy, call, refusal);
  EraseCall(tables, copy, key);
}

auto OutcomeWithoutAttempt(const program_copy& copy, const live_key& key)
    -> outcome {
  const auto* record = FindCall(copy.state, key.first, key.second);
  const auto has_run =
      record != nullptr && record->phase != call_phase::kWithdrawn;
  return has_run || !MayAct(copy) ? outcome::kUnknown : outcome::kNotRun;
}

auto LiveKeys(const program_copy& copy) -> std::vector<live_key> {
  auto keys = std::vector<live_key>{};
  keys.reserve(copy.live.size());
  for (const auto& [key, call] : copy.live) {
    keys.push_back(key);
  }
  return keys;
}

}  // namespace daisywind::program
