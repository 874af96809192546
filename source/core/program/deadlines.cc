#include "program/deadlines.h"

#include <algorithm>

#include "program/live_calls.h"
#include "program/replication.h"
#include "program/replies.h"

namespace daisywind::program {
namespace {

// True when another live call has the same idempotency key.
auto HasKeyInUse(const program_copy& copy, const live_key& key) -> bool {
  const auto& request = copy.live.at(key).request;
  return std::any_of(copy.live.begin(), copy.live.end(),
                     [&](const auto& entry) {
                       return entry.first != key && !request.key.empty() &&
                              entry.second.request.key == request.key;
                     });
}

auto IsPreviousInDoubt(const program_copy& copy, const live_key& key) -> bool {
  const auto* before = FindCall(copy.state, key.first, key.second - 1);
  return before != nullptr && !before->is_idempotent &&
         before->phase == call_phase::kIntended &&
         copy.live.count({key.first, key.second - 1}) == 0;
}

auto EndWait(system_tables& tables, program_copy& copy, const live_key& key)
    -> void {
  auto& call = copy.live.at(key);
  switch (call.phase) {
    case live_phase::kWaitingForTurn: {
      const auto result = HasKeyInUse(copy, key)
                              ? outcome::kUnknown
                              : OutcomeWithoutAttempt(copy, key);
      const auto reason = !MayAct(copy) ? refusal_reason::kWitnessUnreachable
                          : IsPreviousInDoubt(copy, key)
                              ? refusal_reason::kPreviousInDoubt
                              : refusal_reason::kTurnGapTimedOut;
      RefuseCall(tables, copy, key, MakeProblem(result, reason));
      return;
    }
    case live_phase::kRecordingIntent:
      SendProblem(
          tables, copy, call,
          MakeProblem(outcome::kUnknown, refusal_reason::kWitnessUnreachable));
      return;
    case live_phase::kRecordingSettlement:
      SendAnswer(tables, copy, call, *call.answer);
      return;
    case live_phase::kWaitingInDoubt:
      RefuseCall(tables, copy, key,
                 MakeProblem(outcome::kUnknown, refusal_reason::kInDoubt));
      return;
    case live_phase::kWaitingForEndpoint:
    case live_phase::kRunning:
    case live_phase::kRecordingWithdrawal:
      return;
  }
}

}  // namespace

auto CheckDeadlines(system_tables& tables, program_copy& copy) -> void {
  const auto program = copy.state.id;
  for (const auto& key : LiveKeys(copy)) {
    const auto found = copy.live.find(key);
    if (found == copy.live.end()) {
      continue;
    }
    if (tables.now >= found->second.deadline) {
      EndWait(tables, copy, key);
    }
    if (FindOwned(tables, program) == nullptr) {
      return;
    }
  }
}

}  // namespace daisywind::program
