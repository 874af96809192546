#include "program/retire.h"

#include <optional>
#include <utility>

#include "program/replies.h"

namespace daisywind::program {
namespace {

auto AttemptOf(const program_copy& copy,
               const live_key& key,
               attempt_number number) -> attempt_ref {
  return attempt_ref{call_ref{copy.state.id, key.first, key.second}, number};
}

auto AddRetired(system_tables& tables, retired_attempt attempt) -> void {
  const auto name = attempt.attempt;
  attempt.since = tables.now;
  Arm(tables, tables.now + tables.options.resend_interval, retired_timer{name});
  tables.retired[name] = std::move(attempt);
}

// Keeps settlements and withdrawals that the witness may not have, for a report
// to the new owner. They resolve calls that it considers in doubt.
auto RetireOutbox(system_tables& tables, program_copy& copy) -> void {
  for (const auto& item : copy.outbox) {
    auto name = std::optional<attempt_ref>{};
    if (const auto* end = std::get_if<settlement>(&item.update)) {
      name = AttemptOf(copy, {end->branch, end->turn}, end->attempt);
    }
    if (const auto* end = std::get_if<withdrawal>(&item.update)) {
      name = AttemptOf(copy, {end->branch, end->turn}, end->attempt);
    }
    if (!name) {
      continue;
    }
    const auto* call = FindCall(copy.state, name->call.branch, name->call.turn);
    auto attempt = retired_attempt{};
    attempt.attempt = *name;
    attempt.is_report_pending = true;
    attempt.update = item.update;
    if (call != nullptr) {
      attempt.endpoint = call->endpoint;
      attempt.kind = call->kind;
    }
    AddRetired(tables, std::move(attempt));
  }
}

auto RetireCall(system_tables& tables,
                program_copy& copy,
                const live_key& key,
                live_call& call) -> void {
  const auto name = AttemptOf(copy, key, call.attempt);
  if (call.phase == live_phase::kWaitingForEndpoint) {
    tables.out.emplace_back(abandon_endpoint{name.call});
  }
  const auto is_running = call.phase == live_phase::kRunning;
  if (call.has_slot && !is_running) {
    tables.out.emplace_back(release_endpoint_slot{name.call, call.endpoint,
                                                  attempt_result::kNotSent});
  }
  auto attempt = retired_attempt{};
  attempt.attempt = name;
  attempt.endpoint = call.endpoint;
  attempt.kind = call.request.kind;
  if (is_running) {
    attempt.has_slot = call.has_slot;
    attempt.history_size = call.request.history.size();
    attempt.history_digest =
        call.request.history.empty() ? digest{} : call.request.history.back();
    attempt.is_stream = call.request.is_stream;
    if (attempt.is_stream) {
      attempt.text = std::move(call.text);
    }
    AddRetired(tables, std::move(attempt));
    return;
  }
  if (call.phase == live_phase::kRecordingIntent) {
    // The attempt was not sent, and this replaced owner will not send it.
    attempt.is_report_pending = true;
    attempt.update = withdrawal{key.first, key.second, call.attempt};
    AddRetired(tables, std::move(attempt));
  }
}

}  // namespace

auto RetireCalls(system_tables& tables,
                 program_copy& copy,
                 const replica_set& replicas) -> void {
  RetireOutbox(tables, copy);
  for (auto& [key, call] : copy.live) {
    RetireCall(tables, copy, key, call);
    for (const auto& waiter : call.waiters) {
      Send(tables, waiter.origin,
           forward_redirect{waiter.request, copy.state.id, replicas});
    }
  }
  copy.live.clear();
  for (const auto& control : copy.controls) {
    Send(tables, control.origin,
         forward_redirect{control.request, copy.state.id, replicas});
  }
  copy.controls.clear();
  if (copy.open_request) {
    FailOpen(tables, copy, refusal_reason::kOwnerUnreachable);
  }
}

auto SettlementOf(const live_key& key,
                  attempt_number attempt,
                  const digest& history_digest,
                  std::size_t history_size,
                  const attempt_ended& ended,
                  std::string_view text) -> settlement {
  auto update = settlement{};
  update.branch = key.first;
  update.turn = key.second;
  update.attempt = attempt;
  update.used.tokens = ended.answer.prompt_tokens + ended.answer.answer_tokens;
  update.used.calls = 1;
  const auto content = text.empty() ? BytesOf(ended.answer.body) : text;
  const auto message = ended.answer_message.empty()
                           ? MessageText("assistant", content)
                           : ended.answer_message;
  update.message_count = static_cast<std::uint32_t>(history_size) + 1;
  update.history_digest = Extend(history_digest, message);
  update.answer = ended.answer;
  if (!text.empty()) {
    update.answer->body = MakePayload(std::string{text});
  }
  return update;
}

}  // namespace daisywind::program
