#include "program/attempts.h"

#include <algorithm>
#include <utility>

#include "program/calls.h"
#include "program/epoch.h"
#include "program/lifecycle.h"
#include "program/live_calls.h"
#include "program/release.h"
#include "program/replication.h"
#include "program/replies.h"
#include "program/retire.h"

namespace daisywind::program {
namespace {

auto StartAttempt(system_tables& tables,
                  program_copy& copy,
                  const live_key& key,
                  live_call& call) -> void {
  call.phase = live_phase::kRunning;
  auto start = start_attempt{};
  start.attempt = attempt_ref{CallRefOf(copy, key), call.attempt};
  start.endpoint = call.endpoint;
  start.fence = copy.replicas.epoch;
  start.call = call.request;
  start.organisation = copy.state.organisation;
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
  update.call.key_digest =
      request.key.empty() ? digest{} : DigestOf(request.key);
  update.call.request_body_digest = request.body_digest;
  update.call.is_rerun = call.is_rerun;
  update.call.target = request.target;
  update.call.endpoint = call.endpoint;
  if (!tables.options.mutations.skip_reservation) {
    update.call.reserved = WorstCaseOf(request);
  }
  return update;
}

// Prepares a stream for a new attempt. Each waiter keeps the text that it has
// from the abandoned attempt, to check that the new answer starts with it.
auto KeepDeliveredText(live_call& call) -> void {
  for (auto& waiter : call.waiters) {
    const auto known = BytesOf(waiter.known_text).size();
    const auto lacks_text = waiter.offset > waiter.known_end ||
                            (!call.is_rerun && known < waiter.known_end);
    if (lacks_text && waiter.offset <= call.text.size()) {
      waiter.known_text = MakePayload(call.text.substr(0, waiter.offset));
      waiter.known_end = waiter.offset;
    }
  }
  call.text.clear();
  call.is_rerun = true;
}

auto MakeNewAttempt(system_tables& tables,
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
  call.will_retry = call.attempts < tables.options.max_attempts_per_call &&
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
  call.deadline = tables.now + tables.options.settlement_timeout;
  call.sequence = Append(tables, copy, std::move(update));
}

// Resumes a chat call first, because an attempt whose connection broke may
// still run at its engine. Otherwise, starts a new attempt at another endpoint.
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
  MakeNewAttempt(tables, copy, key, call);
}

auto RequestLookup(system_tables& tables,
                   const program_copy& copy,
                   const live_key& key,
                   const live_call& call) -> void {
  if (call.request.has_lookup) {
    tables.out.emplace_back(request_lookup{CallRefOf(copy, key), call.endpoint,
                                           call.request.target,
                                           call.request.key});
  }
}

auto HandleUnknownResult(system_tables& tables,
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

auto ContinueRecorded(system_tables& tables,
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
      if (call.will_retry) {
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
    case live_phase::kWaitingInDoubt:
      return;
  }
}

auto IsRecording(const live_call& call) -> bool {
  return call.phase == live_phase::kRecordingIntent ||
         call.phase == live_phase::kRecordingWithdrawal ||
         call.phase == live_phase::kRecordingSettlement;
}

}  // namespace

auto AcquireEndpoint(system_tables& tables,
                     program_copy& copy,
                     const live_key& key,
                     live_call& call) -> void {
  const auto& request = call.request;
  call.phase = live_phase::kWaitingForEndpoint;
  auto slot_request = acquire_endpoint{};
  slot_request.call = CallRefOf(copy, key);
  slot_request.organisation = copy.state.organisation;
  slot_request.service_class = copy.state.service_class;
  slot_request.kind = request.kind;
  slot_request.target = request.target;
  slot_request.adapter = request.adapter;
  slot_request.is_idempotent = request.is_idempotent;
  slot_request.prompt_tokens = request.prompt_tokens;
  slot_request.max_tokens = request.max_tokens;
  slot_request.attained_service = copy.state.used.tokens;
  slot_request.prefix_blocks = request.prefix_blocks;
  slot_request.body_digest = request.body_digest;
  slot_request.last_endpoint = LastEndpointOf(copy.state, key.first);
  slot_request.excluded = call.excluded;
  tables.out.emplace_back(std::move(slot_request));
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
    MakeNewAttempt(tables, copy, key, call);
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
  call.phase = live_phase::kWaitingInDoubt;
  call.endpoint = record.endpoint;
  call.attempt = record.attempt;
  call.deadline = tables.now + tables.options.in_doubt_timeout;
  ArmCopy(tables, copy, call.deadline);
  RequestLookup(tables, copy, key, call);
}

auto OnRecorded(system_tables& tables, program_copy& copy) -> void {
  const auto program = copy.state.id;
  for (const auto& key : LiveKeys(copy)) {
    const auto found = copy.live.find(key);
    if (found == copy.live.end() || !IsRecording(found->second)) {
      continue;
    }
    if (IsRecorded(copy, found->second.sequence)) {
      ContinueRecorded(tables, copy, key, found->second);
    }
    if (FindOwned(tables, program) == nullptr) {
      return;
    }
  }
  AnswerControls(tables, copy);
  AdmitWaiting(tables, copy);
  CheckEnding(tables, copy);
}

auto ApplyLateUpdate(system_tables& tables,
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
                          found->second.phase == live_phase::kWaitingInDoubt;
  if (found != copy.live.end() && !is_waiting) {
    return;
  }
  Append(tables, copy, update);
  if (is_waiting) {
    found->second.phase = live_phase::kWaitingForTurn;
    found->second.deadline = tables.now + tables.options.turn_gap_timeout;
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
    call.deadline = tables.now + tables.options.turn_gap_timeout;
    return;
  }
  // Other branches may have reserved budget since the call was admitted.
  const auto fits = FitsBudget(tables, copy, WorstCaseOf(call.request)) ||
                    tables.options.mutations.skip_reservation;
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
  call.deadline = tables.now + tables.options.intent_timeout;
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
  ArmCopy(tables, copy, tables.now + tables.options.resend_interval);
  switch (item.result) {
    case attempt_result::kAnswered:
      Settle(tables, copy, entry.key, call, item);
      break;
    case attempt_result::kNotSent:
    case attempt_result::kRefusedNotRun:
      // A resume that was not sent or was refused proves nothing about the
      // attempt that it was to resume.
      if (call.is_resuming) {
        HandleUnknownResult(tables, copy, entry.key, call);
        return;
      }
      Withdraw(tables, copy, entry.key, call);
      break;
    case attempt_result::kNotFound:
      MakeNewAttempt(tables, copy, entry.key, call);
      return;
    case attempt_result::kUnknown:
      HandleUnknownResult(tables, copy, entry.key, call);
      return;
  }
  if (IsRecorded(copy, call.sequence)) {
    OnRecorded(tables, copy);
  }
}

auto OnLookupResult(system_tables& tables, const lookup_result& item) -> void {
  const auto entry = FindLive(tables, item.call);
  const auto fits = entry.call != nullptr &&
                    entry.call->phase == live_phase::kWaitingInDoubt &&
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
