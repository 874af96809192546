#include "program/attempts.h"

#include <algorithm>
#include <utility>

#include "program/calls.h"
#include "program/epoch.h"
#include "program/lifecycle.h"
#include "program/release.h"
#include "program/replication.h"
#include "program/replies.h"
#include "program/retire.h"

namespace daisywind::program {
namespace {

struct live_entry {
  program_copy* copy = nullptr;
  live_key key;
  live_call* call = nullptr;
};

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

auto CallName(const program_copy& copy, const live_key& key) -> call_ref {
  return call_ref{copy.state.id, key.first, key.second};
}

auto ReleaseSlot(system_tables& tables,
                 const program_copy& copy,
                 const live_key& key,
                 live_call& call,
                 attempt_result result) -> void {
  if (call.has_slot) {
    tables.out.emplace_back(
        release_endpoint_slot{CallName(copy, key), call.endpoint, result});
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

// What is known of a call that no attempt can be made for.
auto OutcomeWithoutAttempt(const program_copy& copy, const live_key& key)
    -> outcome {
  const auto* record = FindCall(copy.state, key.first, key.second);
  const auto has_run =
      record != nullptr && record->phase != call_phase::kWithdrawn;
  return has_run || !MayAct(copy) ? outcome::kUnknown : outcome::kNotRun;
}

auto StartAttempt(system_tables& tables,
                  program_copy& copy,
                  const live_key& key,
                  live_call& call) -> void {
  call.phase = live_phase::kRunning;
  auto start = start_attempt{};
  start.attempt = attempt_ref{CallName(copy, key), call.attempt};
  start.endpoint = call.endpoint;
  start.fence = copy.replicas.epoch;
  start.call = call.request;
  start.tenant = copy.state.tenant;
  start.service_class = copy.state.service_class;
  start.is_resume = call.is_resuming;
  start.offset = call.is_resuming ? call.text.size() : 0;
  tables.out.emplace_back(std::move(start));
}

auto IntentOf(const system_tables& tables,
              const live_key& key,
              const live_call& call) -> intent {
  const auto& request = call.request;
  auto update = intent{};
  update.branch = key.first;
  update.call.turn = key.second;
  update.call.attempt = call.attempt;
  update.call.attempts = static_cast<std::uint32_t>(call.attempts);
  update.call.kind = request.kind;
  update.call.is_idempotent = request.is_idempotent;
  update.call.has_lookup = request.has_lookup;
  update.call.key = request.key.empty() ? digest{} : DigestOf(request.key);
  update.call.body = request.body_digest;
  update.call.is_rerun = call.is_rerun;
  update.call.target = request.target;
  update.call.endpoint = call.endpoint;
  if (!tables.options.mutations.forget_reservation) {
    update.call.reserved = WorstCaseOf(request);
  }
  return update;
}

// Text that some caller may have of an attempt that is given up must be a
// prefix of what the next one answers.
auto KeepDeliveredText(live_call& call) -> void {
  for (auto& waiter : call.waiters) {
    const auto known = BytesOf(waiter.known).size();
    const auto lacks_text = waiter.offset > waiter.known_end ||
                            (!call.is_rerun && known < waiter.known_end);
    if (lacks_text && waiter.offset <= call.text.size()) {
      waiter.known = MakePayload(call.text.substr(0, waiter.offset));
      waiter.known_end = waiter.offset;
    }
  }
  call.text.clear();
  call.is_rerun = true;
}

auto MakeFreshAttempt(system_tables& tables,
                      program_copy& copy,
                      const live_key& key,
                      live_call& call) -> void {
  call.is_resuming = false;
  KeepDeliveredText(call);
  const auto is_exhausted =
      call.attempts >= tables.options.max_attempts_per_call;
  if (is_exhausted || copy.state.is_ended) {
    RefuseCall(tables, copy, key,
               MakeProblem(OutcomeWithoutAttempt(copy, key),
                           refusal_reason::kEndpointFailed));
    return;
  }
  AcquireEndpoint(tables, copy, key, call);
}

auto Withdraw(system_tables& tables,
              program_copy& copy,
              const live_key& key,
              live_call& call) -> void {
  call.excluded.insert(call.endpoint);
  call.makes_retry = call.attempts < tables.options.max_attempts_per_call &&
                     !copy.state.is_ended;
  call.refusal =
      MakeProblem(outcome::kNotRun, refusal_reason::kEndpointRefused);
  call.phase = live_phase::kRecordingWithdrawal;
  call.sequence =
      Append(tables, copy, withdrawal{key.first, key.second, call.attempt});
}

auto Settle(system_tables& tables,
            program_copy& copy,
            const live_key& key,
            live_call& call,
            const attempt_ended& ended) -> void {
  const auto& history = call.request.history;
  auto update = SettlementOf(
      key, call.attempt, history.empty() ? digest{} : history.back(),
      history.size(), ended, call.request.is_stream ? call.text : "");
  call.answer = update.answer;
  call.phase = live_phase::kRecordingSettlement;
  call.deadline = tables.now + tables.options.settle_bound;
  call.sequence = Append(tables, copy, std::move(update));
}

// An idempotent attempt whose connection broke may still run at its engine.
auto RetryIdempotent(system_tables& tables,
                     program_copy& copy,
                     const live_key& key,
                     live_call& call) -> void {
  const auto can_resume =
      call.request.kind == call_kind::kChat && !call.is_resuming;
  if (can_resume) {
    call.is_resuming = true;
    StartAttempt(tables, copy, key, call);
    return;
  }
  call.excluded.insert(call.endpoint);
  MakeFreshAttempt(tables, copy, key, call);
}

auto AskService(system_tables& tables,
                const program_copy& copy,
                const live_key& key,
                const live_call& call) -> void {
  if (call.request.has_lookup) {
    tables.out.emplace_back(ask_lookup{CallName(copy, key), call.endpoint,
                                       call.request.target, call.request.key});
  }
}

auto EndUnknown(system_tables& tables,
                program_copy& copy,
                const live_key& key,
                live_call& call) -> void {
  const auto repeats = call.request.is_idempotent ||
                       tables.options.mutations.retry_non_idempotent;
  if (repeats) {
    RetryIdempotent(tables, copy, key, call);
    return;
  }
  const auto* record = FindCall(copy.state, key.first, key.second);
  WaitInDoubt(tables, copy, key, call, *record);
}

auto GoOnRecorded(system_tables& tables,
                  program_copy& copy,
                  const live_key& key,
                  live_call& call) -> void {
  switch (call.phase) {
    case live_phase::kRecordingIntent:
      if (MayAct(copy)) {
        StartAttempt(tables, copy, key, call);
      }
      return;
    case live_phase::kRecordingWithdrawal:
      if (call.makes_retry) {
        AcquireEndpoint(tables, copy, key, call);
      } else {
        RefuseCall(tables, copy, key, call.refusal);
      }
      return;
    case live_phase::kRecordingSettlement:
      SendAnswer(tables, copy, call, *call.answer);
      EraseCall(tables, copy, key);
      return;
    case live_phase::kWaitingForTurn:
    case live_phase::kWaitingForEndpoint:
    case live_phase::kRunning:
    case live_phase::kAskingService:
      return;
  }
}

auto IsRecording(const live_call& call) -> bool {
  return call.phase == live_phase::kRecordingIntent ||
         call.phase == live_phase::kRecordingWithdrawal ||
         call.phase == live_phase::kRecordingSettlement;
}

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
    case live_phase::kAskingService:
      RefuseCall(tables, copy, key,
                 MakeProblem(outcome::kUnknown, refusal_reason::kInDoubt));
      return;
    case live_phase::kWaitingForEndpoint:
    case live_phase::kRunning:
    case live_phase::kRecordingWithdrawal:
      return;
  }
}

auto LiveKeys(const program_copy& copy) -> std::vector<live_key> {
  auto keys = std::vector<live_key>{};
  keys.reserve(copy.live.size());
  for (const auto& [key, call] : copy.live) {
    keys.push_back(key);
  }
  return keys;
}

auto LastEndpoint(const program_copy& copy, const branch_id& name)
    -> endpoint_id {
  const auto* branch = FindBranch(copy.state, name);
  if (branch == nullptr) {
    return endpoint_id{};
  }
  for (auto it = branch->calls.rbegin(); it != branch->calls.rend(); ++it) {
    if (it->second.kind == call_kind::kChat) {
      return it->second.endpoint;
    }
  }
  return endpoint_id{};
}

}  // namespace

auto AcquireEndpoint(system_tables& tables,
                     program_copy& copy,
                     const live_key& key,
                     live_call& call) -> void {
  const auto& request = call.request;
  call.phase = live_phase::kWaitingForEndpoint;
  auto ask = acquire_endpoint{};
  ask.call = CallName(copy, key);
  ask.tenant = copy.state.tenant;
  ask.service_class = copy.state.service_class;
  ask.kind = request.kind;
  ask.target = request.target;
  ask.adapter = request.adapter;
  ask.is_idempotent = request.is_idempotent;
  ask.prompt_tokens = request.prompt_tokens;
  ask.max_tokens = request.max_tokens;
  ask.attained_service = copy.state.used.tokens;
  ask.prefix_blocks = request.prefix_blocks;
  ask.last_endpoint = LastEndpoint(copy, key.first);
  ask.excluded = call.excluded;
  tables.out.emplace_back(std::move(ask));
}

auto ResumeAttempt(system_tables& tables,
                   program_copy& copy,
                   const live_key& key,
                   live_call& call,
                   const call_record& record) -> void {
  call.endpoint = record.endpoint;
  call.attempt = record.attempt;
  call.attempts = record.attempts;
  call.is_rerun = record.is_rerun;
  if (record.kind != call_kind::kChat) {
    MakeFreshAttempt(tables, copy, key, call);
    return;
  }
  call.is_resuming = true;
  StartAttempt(tables, copy, key, call);
}

auto WaitInDoubt(system_tables& tables,
                 program_copy& copy,
                 const live_key& key,
                 live_call& call,
                 const call_record& record) -> void {
  call.phase = live_phase::kAskingService;
  call.endpoint = record.endpoint;
  call.attempt = record.attempt;
  call.deadline = tables.now + tables.options.doubt_bound;
  ArmCopy(tables, copy, call.deadline);
  AskService(tables, copy, key, call);
}

auto OnRecorded(system_tables& tables, program_copy& copy) -> void {
  const auto program = copy.state.id;
  for (const auto& key : LiveKeys(copy)) {
    const auto found = copy.live.find(key);
    if (found == copy.live.end() || !IsRecording(found->second)) {
      continue;
    }
    if (IsRecorded(copy, found->second.sequence)) {
      GoOnRecorded(tables, copy, key, found->second);
    }
    if (FindOwned(tables, program) == nullptr) {
      return;
    }
  }
  AnswerControls(tables, copy);
  AdmitWaiting(tables, copy);
  CheckEnding(tables, copy);
}

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

auto TakeLateUpdate(system_tables& tables,
                    program_copy& copy,
                    const state_update& update) -> void {
  auto key = live_key{};
  auto attempt = attempt_number{0};
  if (const auto* end = std::get_if<settlement>(&update)) {
    key = {end->branch, end->turn};
    attempt = end->attempt;
  } else if (const auto* back = std::get_if<withdrawal>(&update)) {
    key = {back->branch, back->turn};
    attempt = back->attempt;
  }
  const auto* record = FindCall(copy.state, key.first, key.second);
  const auto fits = record != nullptr && record->attempt == attempt &&
                    record->phase == call_phase::kIntended;
  if (!fits) {
    return;
  }
  const auto found = copy.live.find(key);
  const auto is_waiting = found != copy.live.end() &&
                          found->second.phase == live_phase::kAskingService;
  if (found != copy.live.end() && !is_waiting) {
    return;
  }
  Append(tables, copy, update);
  if (is_waiting) {
    found->second.phase = live_phase::kWaitingForTurn;
    found->second.deadline = tables.now + tables.options.gap_bound;
  }
  AdmitWaiting(tables, copy);
}

auto OnEndpointGranted(system_tables& tables, const endpoint_granted& item)
    -> void {
  const auto entry = FindLive(tables, item.call);
  const auto is_wanted = entry.call != nullptr &&
                         entry.call->phase == live_phase::kWaitingForEndpoint;
  if (!is_wanted) {
    tables.out.emplace_back(release_endpoint_slot{item.call, item.endpoint,
                                                  attempt_result::kNotSent});
    return;
  }
  auto& copy = *entry.copy;
  auto& call = *entry.call;
  call.endpoint = item.endpoint;
  call.has_slot = true;
  if (!MayAct(copy)) {
    ReleaseSlot(tables, copy, entry.key, call, attempt_result::kNotSent);
    call.phase = live_phase::kWaitingForTurn;
    call.deadline = tables.now + tables.options.gap_bound;
    return;
  }
  // Other branches may have reserved since the call was admitted.
  const auto fits = FitsBudget(tables, copy, WorstCaseOf(call.request)) ||
                    tables.options.mutations.forget_reservation;
  if (!fits || copy.state.is_ended) {
    const auto reason =
        fits ? refusal_reason::kProgramEnded : refusal_reason::kBudgetExceeded;
    RefuseCall(tables, copy, entry.key,
               MakeProblem(OutcomeWithoutAttempt(copy, entry.key), reason));
    return;
  }
  ++call.attempts;
  call.attempt = copy.state.last_attempt + 1;
  call.phase = live_phase::kRecordingIntent;
  call.deadline = tables.now + tables.options.intent_bound;
  CancelRelease(tables, release_key{call.endpoint, copy.state.id});
  call.sequence = Append(tables, copy, IntentOf(tables, entry.key, call));
  const auto is_recorded = IsRecorded(copy, call.sequence);
  if (is_recorded || tables.options.mutations.send_before_ack) {
    StartAttempt(tables, copy, entry.key, call);
  }
}

auto OnEndpointRefused(system_tables& tables, const endpoint_refused& item)
    -> void {
  const auto entry = FindLive(tables, item.call);
  const auto is_waiting = entry.call != nullptr &&
                          entry.call->phase == live_phase::kWaitingForEndpoint;
  if (!is_waiting) {
    return;
  }
  auto refusal =
      MakeProblem(OutcomeWithoutAttempt(*entry.copy, entry.key), item.reason);
  refusal.retry_after = item.retry_after;
  RefuseCall(tables, *entry.copy, entry.key, refusal);
}

auto OnAttemptOutput(system_tables& tables, const attempt_output& item)
    -> void {
  const auto entry = FindLive(tables, item.attempt.call);
  const auto fits = entry.call != nullptr &&
                    entry.call->attempt == item.attempt.number &&
                    entry.call->phase == live_phase::kRunning;
  if (!fits) {
    ExtendRetired(tables, item);
    return;
  }
  auto& text = entry.call->text;
  const auto bytes = BytesOf(item.bytes);
  const auto end = item.offset + bytes.size();
  const auto is_new = item.offset <= text.size() && end > text.size();
  if (!is_new) {
    return;
  }
  if (end > tables.options.max_stream_bytes) {
    SendProblem(tables, *entry.copy, *entry.call,
                MakeProblem(outcome::kUnknown, refusal_reason::kStreamLost));
    tables.out.emplace_back(cancel_attempt{item.attempt, entry.call->endpoint});
    return;
  }
  text += bytes.substr(text.size() - item.offset);
  SendText(tables, *entry.copy, *entry.call);
}

auto OnAttemptEnded(system_tables& tables, const attempt_ended& item) -> void {
  if (EndRetired(tables, item)) {
    return;
  }
  const auto entry = FindLive(tables, item.attempt.call);
  const auto fits = entry.call != nullptr &&
                    entry.call->attempt == item.attempt.number &&
                    entry.call->phase == live_phase::kRunning;
  if (!fits) {
    return;
  }
  auto& copy = *entry.copy;
  auto& call = *entry.call;
  ReleaseSlot(tables, copy, entry.key, call, item.result);
  ArmCopy(tables, copy, tables.now + tables.options.resend_after);
  switch (item.result) {
    case attempt_result::kAnswered:
      Settle(tables, copy, entry.key, call, item);
      break;
    case attempt_result::kNotSent:
    case attempt_result::kRefusedNotRun:
      // Of a resume it proves nothing about the attempt itself.
      if (call.is_resuming) {
        EndUnknown(tables, copy, entry.key, call);
        return;
      }
      Withdraw(tables, copy, entry.key, call);
      break;
    case attempt_result::kNotFound:
      MakeFreshAttempt(tables, copy, entry.key, call);
      return;
    case attempt_result::kUnknown:
      EndUnknown(tables, copy, entry.key, call);
      return;
  }
  if (IsRecorded(copy, call.sequence)) {
    OnRecorded(tables, copy);
  }
}

auto OnLookupResult(system_tables& tables, const lookup_result& item) -> void {
  const auto entry = FindLive(tables, item.call);
  const auto fits = entry.call != nullptr &&
                    entry.call->phase == live_phase::kAskingService &&
                    item.status == lookup_status::kRan;
  if (!fits) {
    return;
  }
  auto ended = attempt_ended{};
  ended.attempt = attempt_ref{item.call, entry.call->attempt};
  ended.answer = item.answer;
  Settle(tables, *entry.copy, entry.key, *entry.call, ended);
  if (IsRecorded(*entry.copy, entry.call->sequence)) {
    OnRecorded(tables, *entry.copy);
  }
}

}  // namespace daisywind::program
