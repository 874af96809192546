#include "program/calls.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "program/attempts.h"
#include "program/reconfiguration.h"
#include "program/replication.h"
#include "program/replies.h"

namespace daisywind::program {
namespace {

// Result of an admission check: the call waits for its turn, has been admitted,
// or has been answered or refused.
enum class admission : std::uint8_t { kWait, kAdmitted, kReplied };

auto KeyDigest(const call_request& request) -> digest {
  return request.key.empty() ? digest{} : DigestOf(request.key);
}

auto Refuse(system_tables& tables,
            program_copy& copy,
            live_call& call,
            outcome result,
            refusal_reason reason) -> admission {
  SendProblem(tables, copy, call, MakeProblem(result, reason));
  return admission::kReplied;
}

// Answers a settled call from its record. The answer itself may not be kept.
auto ReplyRecorded(system_tables& tables,
                   program_copy& copy,
                   const call_record& record,
                   live_call& call) -> admission {
  for (const auto& waiter : call.waiters) {
    const auto is_sent =
        SendRecorded(tables, copy, record, call.request.is_stream, waiter);
    if (!is_sent) {
      SendProblem(tables, copy, waiter.origin, waiter.request,
                  MakeProblem(outcome::kDone, refusal_reason::kAnswerNotKept));
    }
  }
  call.waiters.clear();
  return admission::kReplied;
}

// True when a settled idempotent call may run again because its answer was lost
// with the previous owner. No later turn of the branch may depend on it.
auto CanRepeat(const program_copy& copy,
               const live_key& key,
               const call_record& record) -> bool {
  const auto* branch = FindBranch(copy.state, key.first);
  return record.is_idempotent && !record.answer &&
         branch->last_turn == key.second && !branch->is_joined &&
         !copy.state.is_ended;
}

// Admits a call whose last attempt is in doubt: an intent is recorded, but no
// result.
auto AdmitInDoubt(system_tables& tables,
                  program_copy& copy,
                  const live_key& key,
                  live_call& call,
                  const call_record& record) -> admission {
  if (copy.state.is_ended) {
    return Refuse(tables, copy, call, outcome::kUnknown,
                  refusal_reason::kProgramEnded);
  }
  const auto retries = tables.options.mutations.retry_non_idempotent;
  if (record.is_idempotent || retries) {
    ResumeAttempt(tables, copy, key, call, record);
    return admission::kAdmitted;
  }
  WaitInDoubt(tables, copy, key, call, record);
  return admission::kAdmitted;
}

auto AdmitRecorded(system_tables& tables,
                   program_copy& copy,
                   const live_key& key,
                   live_call& call,
                   const call_record& record) -> std::optional<admission> {
  if (record.phase == call_phase::kWithdrawn) {
    return std::nullopt;
  }
  if (record.request_body_digest != call.request.body_digest) {
    const auto has_key = !call.request.key.empty() &&
                         record.key_digest == KeyDigest(call.request);
    return Refuse(
        tables, copy, call, outcome::kNotRun,
        has_key ? refusal_reason::kKeyReused : refusal_reason::kTurnConflict);
  }
  if (record.phase == call_phase::kIntended) {
    return AdmitInDoubt(tables, copy, key, call, record);
  }
  if (CanRepeat(copy, key, record)) {
    ResumeAttempt(tables, copy, key, call, record);
    return admission::kAdmitted;
  }
  return ReplyRecorded(tables, copy, record, call);
}

// Answers a call whose idempotency key belongs to another turn or branch with
// the result of that call. The key never causes a second run.
auto AdmitByKey(system_tables& tables,
                program_copy& copy,
                const live_key& key,
                live_call& call) -> std::optional<admission> {
  if (call.request.key.empty()) {
    return std::nullopt;
  }
  for (const auto& [other, running] : copy.live) {
    if (other != key && running.request.key == call.request.key &&
        running.phase != live_phase::kWaitingForTurn) {
      return admission::kWait;
    }
  }
  const auto found = FindByKey(copy.state, KeyDigest(call.request));
  const auto is_other = found && live_key{found->branch, found->turn} != key;
  if (!is_other) {
    return std::nullopt;
  }
  const auto* record = FindCall(copy.state, found->branch, found->turn);
  if (record->phase == call_phase::kWithdrawn) {
    return std::nullopt;
  }
  if (record->request_body_digest != call.request.body_digest) {
    return Refuse(tables, copy, call, outcome::kNotRun,
                  refusal_reason::kKeyReused);
  }
  if (record->phase == call_phase::kIntended) {
    return Refuse(tables, copy, call, outcome::kUnknown,
                  refusal_reason::kInDoubt);
  }
  return ReplyRecorded(tables, copy, *record, call);
}

// True when the previous turn is settled, or in doubt and the caller has been
// told so.
auto IsTurn(const system_tables& tables,
            const program_copy& copy,
            const branch_record& branch,
            turn_number turn) -> bool {
  if (tables.options.mutations.skip_turn_order) {
    return true;
  }
  if (turn > branch.last_turn + 1) {
    return false;
  }
  if (turn == 1) {
    return true;
  }
  const auto found = branch.calls.find(turn - 1);
  if (found == branch.calls.end()) {
    return false;
  }
  const auto& before = found->second;
  if (copy.live.count({branch.name, turn - 1}) != 0) {
    return false;
  }
  return before.phase == call_phase::kSettled || before.is_in_doubt_reported;
}

auto ExtendsHistory(const branch_record& branch, const call_request& request)
    -> bool {
  if (request.kind != call_kind::kChat) {
    return true;
  }
  const auto kept = static_cast<std::size_t>(branch.message_count);
  if (request.history.size() <= kept) {
    return false;
  }
  return kept == 0 || request.history[kept - 1] == branch.history_digest;
}

auto AdmitNew(system_tables& tables,
              program_copy& copy,
              const live_key& key,
              live_call& call) -> admission {
  const auto& request = call.request;
  const auto refuse = [&](refusal_reason reason) {
    return Refuse(tables, copy, call, outcome::kNotRun, reason);
  };
  if (copy.state.is_ended) {
    return refuse(refusal_reason::kProgramEnded);
  }
  const auto* branch = FindBranch(copy.state, key.first);
  if (branch == nullptr) {
    return refuse(refusal_reason::kBranchNotFound);
  }
  if (branch->is_joined) {
    return refuse(refusal_reason::kBranchEnded);
  }
  if (!request.is_idempotent && request.key.empty()) {
    return refuse(refusal_reason::kKeyMissing);
  }
  const auto is_withdrawn = branch->calls.count(key.second) != 0;
  if (key.second <= branch->last_turn && !is_withdrawn) {
    return Refuse(tables, copy, call, outcome::kDone,
                  refusal_reason::kAnswerNotKept);
  }
  if (!IsTurn(tables, copy, *branch, key.second)) {
    return admission::kWait;
  }
  if (!ExtendsHistory(*branch, request)) {
    return refuse(refusal_reason::kHistoryMismatch);
  }
  if (!FitsBudget(tables, copy, WorstCaseOf(request))) {
    return refuse(refusal_reason::kBudgetExceeded);
  }
  AcquireEndpoint(tables, copy, key, call);
  return admission::kAdmitted;
}

auto Admit(system_tables& tables,
           program_copy& copy,
           const live_key& key,
           live_call& call) -> admission {
  if (!MayAct(copy) || tables.is_shutting_down) {
    return admission::kWait;
  }
  if (const auto* record = FindCall(copy.state, key.first, key.second)) {
    const auto result = AdmitRecorded(tables, copy, key, call, *record);
    if (result) {
      return *result;
    }
  }
  const auto by_key = AdmitByKey(tables, copy, key, call);
  return by_key ? *by_key : AdmitNew(tables, copy, key, call);
}

auto WaiterOf(const vm_ref& from, const forward_call& item) -> call_waiter {
  auto waiter = call_waiter{};
  waiter.origin = from;
  waiter.request = item.request;
  waiter.offset = item.call.offset;
  waiter.known_text = item.delivered;
  waiter.known_end = item.call.offset;
  return waiter;
}

auto JoinCall(system_tables& tables,
              program_copy& copy,
              const vm_ref& from,
              const forward_call& item,
              live_call& call) -> void {
  if (call.request.body_digest != item.call.body_digest) {
    const auto result = MayAct(copy) ? outcome::kNotRun : outcome::kUnknown;
    SendProblem(tables, copy, from, item.request,
                MakeProblem(result, refusal_reason::kTurnConflict));
    return;
  }
  AddWaiter(call, WaiterOf(from, item));
  Send(tables, from, forward_accepted{item.request, copy.replicas});
  SendText(tables, copy, call);
}

auto CountWaiting(const program_copy& copy) -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(copy.live.begin(), copy.live.end(), [](const auto& entry) {
        return entry.second.phase == live_phase::kWaitingForTurn;
      }));
}

auto IsWellFormed(const call_request& request) -> bool {
  return request.turn != 0 && request.prompt_tokens >= 0 &&
         request.max_tokens >= 0;
}

auto StartCall(system_tables& tables,
               program_copy& copy,
               const vm_ref& from,
               const forward_call& item) -> void {
  const auto key = live_key{item.call.branch, item.call.turn};
  auto call = live_call{};
  call.request = item.call;
  call.deadline = tables.now + tables.options.turn_gap_timeout;
  call.waiters.push_back(WaiterOf(from, item));
  Send(tables, from, forward_accepted{item.request, copy.replicas});
  auto& stored = copy.live[key] = std::move(call);
  if (Admit(tables, copy, key, stored) == admission::kReplied) {
    copy.live.erase(key);
  }
  copy.last_activity = tables.now;
  ArmCopy(tables, copy, tables.now + tables.options.resend_interval);
}

}  // namespace

auto RedirectRequest(system_tables& tables,
                     const vm_ref& from,
                     request_id request,
                     const program_handle& handle,
                     bool is_owner_silent) -> void {
  auto* copy = FindCopy(tables, handle.program);
  const auto takes_over = copy != nullptr &&
                          copy->role == copy_role::kWitness &&
                          (is_owner_silent || NeedsRepair(tables, *copy));
  if (takes_over) {
    ProposeRepair(tables, *copy, LostMembers(tables, *copy));
  }
  Send(tables, from,
       forward_redirect{request, handle.program,
                        KnownSet(tables, handle.program)});
}

auto OnForwardCall(system_tables& tables,
                   const vm_ref& from,
                   const forward_call& item) -> void {
  auto* copy = FindOwned(tables, item.handle.program);
  if (copy == nullptr) {
    RedirectRequest(tables, from, item.request, item.handle,
                    item.is_owner_silent);
    return;
  }
  const auto refuse = [&](outcome result, refusal_reason reason) {
    SendProblem(tables, *copy, from, item.request, MakeProblem(result, reason));
  };
  if (copy->state.organisation != item.organisation) {
    refuse(outcome::kNotRun, refusal_reason::kWrongOrganisation);
    return;
  }
  if (!IsWellFormed(item.call)) {
    refuse(outcome::kNotRun, refusal_reason::kBadRequest);
    return;
  }
  const auto found = copy->live.find({item.call.branch, item.call.turn});
  if (found != copy->live.end()) {
    JoinCall(tables, *copy, from, item, found->second);
    return;
  }
  if (CountWaiting(*copy) >= tables.options.max_waiting_calls) {
    const auto* record =
        FindCall(copy->state, item.call.branch, item.call.turn);
    const auto is_new = record == nullptr && MayAct(*copy);
    refuse(is_new ? outcome::kNotRun : outcome::kUnknown,
           refusal_reason::kOverloaded);
    return;
  }
  StartCall(tables, *copy, from, item);
}

auto OnForwardPoll(system_tables& tables,
                   const vm_ref& from,
                   const forward_poll& item) -> void {
  auto* copy = FindOwned(tables, item.call.program);
  const auto key = live_key{item.call.branch, item.call.turn};
  const auto found =
      copy == nullptr ? decltype(copy->live.find(key)){} : copy->live.find(key);
  if (copy != nullptr && found != copy->live.end()) {
    auto& call = found->second;
    for (auto& waiter : call.waiters) {
      if (waiter.origin == from && waiter.request == item.request) {
        waiter.offset = item.offset;
        Send(tables, from, forward_accepted{item.request, copy->replicas});
        SendText(tables, *copy, call);
        return;
      }
    }
  }
  // Any redirect makes the entry VM forward the whole call again, here or to
  // another member.
  Send(tables, from,
       forward_redirect{item.request, item.call.program,
                        KnownSet(tables, item.call.program)});
}

auto OnForwardCancel(system_tables& tables,
                     const vm_ref& from,
                     const forward_cancel& item) -> void {
  auto* copy = FindOwned(tables, item.call.program);
  if (copy == nullptr) {
    return;
  }
  const auto key = live_key{item.call.branch, item.call.turn};
  const auto found = copy->live.find(key);
  if (found == copy->live.end()) {
    return;
  }
  auto& call = found->second;
  std::erase_if(call.waiters, [&](const call_waiter& waiter) {
    return waiter.origin == from && waiter.request == item.request;
  });
  const auto waits_for_endpoint = call.phase == live_phase::kWaitingForEndpoint;
  const auto is_not_begun =
      call.phase == live_phase::kWaitingForTurn || waits_for_endpoint;
  if (!call.waiters.empty() || !is_not_begun) {
    return;
  }
  if (waits_for_endpoint) {
    tables.out.emplace_back(abandon_endpoint{item.call});
  }
  copy->live.erase(found);
}

auto OnInDoubtDelivered(system_tables& tables, const in_doubt_delivered& item)
    -> void {
  auto* copy = FindOwned(tables, item.call.program);
  if (copy == nullptr || !MayAct(*copy)) {
    return;
  }
  const auto* record = FindCall(copy->state, item.call.branch, item.call.turn);
  const auto is_in_doubt = record != nullptr && !record->is_idempotent &&
                           record->phase == call_phase::kIntended &&
                           !record->is_in_doubt_reported;
  if (is_in_doubt) {
    Append(tables, *copy, in_doubt_reported{item.call.branch, item.call.turn});
    AdmitWaiting(tables, *copy);
  }
}

auto AdmitWaiting(system_tables& tables, program_copy& copy) -> void {
  auto keys = std::vector<live_key>{};
  for (const auto& [key, call] : copy.live) {
    if (call.phase == live_phase::kWaitingForTurn) {
      keys.push_back(key);
    }
  }
  for (const auto& key : keys) {
    const auto found = copy.live.find(key);
    const auto is_done =
        found != copy.live.end() &&
        Admit(tables, copy, key, found->second) == admission::kReplied;
    if (is_done) {
      copy.live.erase(key);
    }
  }
}

auto FitsBudget(const system_tables& tables,
                const program_copy& copy,
                const budget& worst) -> bool {
  const auto reserved = ReservedOf(copy.state);
  const auto& limits = copy.state.limits;
  const auto& used = copy.state.used;
  const auto fits_tokens =
      used.tokens + reserved.tokens + worst.tokens <= limits.tokens;
  const auto fits_calls =
      used.calls + reserved.calls + worst.calls <= limits.calls;
  const auto fits_time = tables.now - copy.opened < limits.time;
  return fits_tokens && fits_calls && fits_time;
}

}  // namespace daisywind::program
