#include "fault_matrix/caller.h"

#include <utility>

namespace daisywind::fault_matrix {
namespace {

using program::outcome;
using program::refusal_reason;

auto MainBranch() -> branch_id {
  return branch_id{"main"};
}

auto SubBranch() -> branch_id {
  return branch_id{"sub"};
}

auto Organisation() -> organisation_id {
  return organisation_id{"choclo"};
}

constexpr auto kRetryDelay = duration{700ms};
// A request without a final reply for this long is abandoned and retried.
constexpr auto kRequestTimeout = duration{15s};
// Requests for one call or control step before the program is given up.
constexpr int kMaxTries = 14;
// Refusals with an unknown outcome after which a non-idempotent call is not
// retried.
constexpr int kMaxInDoubtRefusals = 3;
constexpr std::int64_t kPromptTokens = 40;
constexpr std::int64_t kAnswerTokens = 20;

auto Chat(program::turn_number turn, bool is_stream) -> planned_call {
  return planned_call{turn, true, is_stream, true, false};
}

auto Service(program::turn_number turn, bool has_lookup) -> planned_call {
  return planned_call{turn, false, false, false, has_lookup};
}

auto IdempotentService(program::turn_number turn) -> planned_call {
  return planned_call{turn, false, false, true, false};
}

auto IdempotencyKeyOf(const branch_id& branch, const planned_call& plan)
    -> std::string {
  return plan.is_idempotent ? std::string{}
                            : branch.value + "-" + std::to_string(plan.turn);
}

}  // namespace

caller::caller(simulated_cluster& cluster,
               scenario kind,
               const program::budget& limits,
               duration tool_pause)
    : cluster_(cluster), kind_(kind), limits_(limits), tool_pause_(tool_pause) {
  PlanBranches();
}

auto caller::PlanBranches() -> void {
  auto& main = branches_[MainBranch()];
  auto& sub = branches_[SubBranch()];
  main.name = MainBranch();
  sub.name = SubBranch();
  if (kind_ == scenario::kLoop) {
    return;
  }
  main.groups = {{Chat(1, false)},
                 {Service(2, false)},
                 {Chat(3, true)},
                 {Service(4, true)},
                 {Chat(5, true)}};
  sub.groups = {{Chat(1, true)},
                {Service(2, false), Service(3, false)},
                {IdempotentService(4)}};
}

auto caller::Start() -> void {
  SendControl(control_step::kOpen);
}

auto caller::SendControl(control_step step) -> void {
  if (is_over_) {
    return;
  }
  if (++control_tries_ > kMaxTries) {
    GiveUp(refusal_reason::kOwnerUnreachable);
    return;
  }
  const auto request = ++last_request_;
  const auto entry = cluster_.NextEntry();
  requests_[request] = open_request{entry, std::nullopt, 0, step};
  cluster_.Schedule(kRequestTimeout, [this, request, step] {
    if (requests_.count(request) != 0) {
      Abandon(request);
      RetryControl(step);
    }
  });
  if (step == control_step::kOpen) {
    cluster_.Deliver(entry, program::open_program{request, Organisation(),
                                                  class_id{"vendor"}, limits_});
    return;
  }
  auto control = program::control_arrived{};
  control.request = request;
  control.handle = handle_;
  control.organisation = Organisation();
  control.branch = SubBranch();
  control.parent = MainBranch();
  control.action =
      step == control_step::kStart  ? program::control_action::kStart
      : step == control_step::kJoin ? program::control_action::kJoin
                                    : program::control_action::kEnd;
  cluster_.Deliver(entry, control);
}

auto caller::RetryControl(control_step step) -> void {
  cluster_.Schedule(kRetryDelay, [this, step] { SendControl(step); });
}

auto caller::OnControlDone(control_step step) -> void {
  control_tries_ = 0;
  switch (step) {
    case control_step::kOpen:
      StartGroup(branches_.at(MainBranch()));
      return;
    case control_step::kStart:
      StartGroup(branches_.at(MainBranch()));
      StartGroup(branches_.at(SubBranch()));
      return;
    case control_step::kJoin:
      SendControl(control_step::kEnd);
      return;
    case control_step::kEnd:
      is_over_ = true;
      cluster_.RecordEvent(
          MakeEvent(observed_event_kind::kProgramEnded, MainBranch(), 0, 0));
      return;
  }
}

auto caller::StartGroup(caller_branch& branch) -> void {
  if (kind_ == scenario::kLoop) {
    branch.groups = {{Chat(branch.next_turn, false)}};
  }
  if (branch.groups.empty()) {
    EndBranch(branch);
    return;
  }
  const auto group = std::move(branch.groups.front());
  branch.groups.pop_front();
  for (auto it = group.rbegin(); it != group.rend(); ++it) {
    auto call = caller_call{};
    call.plan = *it;
    branch.calls[it->turn] = call;
  }
  for (auto it = group.rbegin(); it != group.rend(); ++it) {
    SendCall(branch, branch.calls.at(it->turn));
  }
}

auto caller::MakeRequest(const caller_branch& branch,
                         const caller_call& call) const
    -> program::call_request {
  auto request = program::call_request{};
  request.branch = branch.name;
  request.turn = call.plan.turn;
  request.kind = call.plan.is_chat ? program::call_kind::kChat
                                   : program::call_kind::kService;
  request.target = call.plan.is_chat ? "agent" : "cart";
  request.key = IdempotencyKeyOf(branch.name, call.plan);
  request.is_idempotent = call.plan.is_idempotent;
  request.has_lookup = call.plan.has_lookup;
  request.is_stream = call.plan.is_stream;
  request.offset = call.text.size();
  const auto text = "question " + std::to_string(call.plan.turn);
  request.body = program::MakePayload(text);
  request.body_digest = DigestOf(branch.name.value + text);
  if (call.plan.is_chat) {
    request.history = branch.history;
    const auto before =
        branch.history.empty() ? digest{} : branch.history.back();
    request.history.push_back(
        Extend(before, program::MessageText("user", text)));
    request.prompt_tokens = kPromptTokens;
    request.max_tokens = kAnswerTokens;
  }
  return request;
}

auto caller::SendCall(caller_branch& branch, caller_call& call) -> void {
  if (is_over_ || call.is_done) {
    return;
  }
  if (++call.tries > kMaxTries) {
    GiveUp(refusal_reason::kOwnerUnreachable);
    return;
  }
  const auto request = ++last_request_;
  call.request = request;
  call.entry = cluster_.NextEntry();
  const auto turn = call.plan.turn;
  requests_[request] =
      open_request{call.entry, branch.name, turn, control_step::kOpen};
  cluster_.RecordEvent(
      MakeEvent(observed_event_kind::kRequestSent, branch.name, turn, request));
  cluster_.Schedule(kRequestTimeout, [this, request, name = branch.name, turn] {
    if (requests_.count(request) != 0) {
      Abandon(request);
      RetryCall(name, turn, kRetryDelay);
    }
  });
  auto arrival = program::call_arrived{};
  arrival.request = request;
  arrival.handle = handle_;
  arrival.organisation = Organisation();
  arrival.call = MakeRequest(branch, call);
  cluster_.Deliver(call.entry, arrival);
}

auto caller::RetryCall(const branch_id& branch,
                       program::turn_number turn,
                       duration delay) -> void {
  cluster_.Schedule(delay, [this, branch, turn] {
    auto& record = branches_.at(branch);
    SendCall(record, record.calls.at(turn));
  });
}

auto caller::Abandon(std::uint64_t request) -> void {
  const auto found = requests_.find(request);
  const auto item = found->second;
  requests_.erase(found);
  if (item.branch) {
    cluster_.RecordEvent(MakeEvent(observed_event_kind::kAbandoned,
                                   *item.branch, item.turn, request));
  }
  cluster_.Deliver(item.entry, program::caller_disconnected{request});
}

auto caller::OnProcessDeath(vm_index vm) -> void {
  auto broken = std::vector<std::uint64_t>{};
  for (const auto& [request, item] : requests_) {
    if (item.entry == vm) {
      broken.push_back(request);
    }
  }
  AbandonAndRetry(broken);
}

auto caller::OnDisconnected() -> void {
  auto broken = std::vector<std::uint64_t>{};
  for (const auto& [request, item] : requests_) {
    broken.push_back(request);
  }
  AbandonAndRetry(broken);
}

auto caller::AbandonAndRetry(const std::vector<std::uint64_t>& requests)
    -> void {
  for (const auto request : requests) {
    const auto item = requests_.at(request);
    Abandon(request);
    if (item.branch) {
      RetryCall(*item.branch, item.turn, kRetryDelay);
    } else {
      RetryControl(item.control);
    }
  }
}

auto caller::UpdateHandle(const program::program_handle& handle) -> void {
  if (handle.replicas.epoch >= handle_.replicas.epoch &&
      handle.program != program_id{}) {
    handle_ = handle;
  }
}

auto caller::OnReply(vm_index vm, const program::command& item) -> void {
  if (const auto* part = std::get_if<program::reply_part>(&item)) {
    OnPart(*part);
  } else if (const auto* end = std::get_if<program::reply_end>(&item)) {
    OnEnd(*end);
  } else if (const auto* refusal = std::get_if<program::reply_problem>(&item)) {
    OnProblem(*refusal);
  } else if (const auto* done = std::get_if<program::reply_view>(&item)) {
    const auto found = requests_.find(done->request);
    if (found == requests_.end() || found->second.entry != vm) {
      return;
    }
    const auto step = found->second.control;
    requests_.erase(found);
    UpdateHandle(done->view.handle);
    OnControlDone(step);
  }
}

auto caller::OnPart(const program::reply_part& item) -> void {
  const auto found = requests_.find(item.request);
  if (found == requests_.end() || !found->second.branch) {
    return;
  }
  auto& call = branches_.at(*found->second.branch).calls.at(found->second.turn);
  if (item.offset == call.text.size()) {
    call.text += program::BytesOf(item.bytes);
  }
}

auto caller::OnEnd(const program::reply_end& item) -> void {
  const auto found = requests_.find(item.request);
  if (found == requests_.end()) {
    return;
  }
  const auto request = found->second;
  requests_.erase(found);
  UpdateHandle(item.handle);
  auto& branch = branches_.at(*request.branch);
  auto& call = branch.calls.at(request.turn);
  if (item.is_lost) {
    // The rest of the answer is lost, so the caller discards the received part
    // and requests the answer again.
    call.text.clear();
    cluster_.RecordEvent(MakeEvent(observed_event_kind::kAbandoned,
                                   *request.branch, request.turn,
                                   item.request));
    RetryCall(*request.branch, request.turn, kRetryDelay);
    return;
  }
  if (!call.plan.is_stream) {
    call.text = program::BytesOf(item.answer.body);
  }
  auto event = MakeEvent(observed_event_kind::kAnswered, *request.branch,
                         request.turn, item.request);
  event.text = call.text;
  cluster_.RecordEvent(event);
  if (call.plan.is_chat) {
    const auto made = MakeRequest(branch, call);
    branch.history = made.history;
    branch.history.push_back(Extend(
        made.history.back(), program::MessageText("assistant", call.text)));
  }
  FinishCall(branch, call);
}

auto caller::OnProblem(const program::reply_problem& item) -> void {
  const auto found = requests_.find(item.request);
  if (found == requests_.end()) {
    return;
  }
  const auto request = found->second;
  requests_.erase(found);
  UpdateHandle(item.handle);
  if (!request.branch) {
    RetryControl(request.control);
    return;
  }
  OnCallProblem(request, item);
}

auto caller::OnCallProblem(const open_request& request,
                           const program::reply_problem& item) -> void {
  auto event = MakeEvent(observed_event_kind::kRefused, *request.branch,
                         request.turn, item.request);
  event.result = item.refusal.result;
  event.reason = item.refusal.reason;
  cluster_.RecordEvent(event);
  auto& branch = branches_.at(*request.branch);
  auto& call = branch.calls.at(request.turn);
  const auto reason = item.refusal.reason;
  if (reason == refusal_reason::kBudgetExceeded) {
    EndBranch(branch);
    return;
  }
  const auto is_gone = reason == refusal_reason::kProgramEnded ||
                       reason == refusal_reason::kProgramLost;
  if (is_gone) {
    GiveUp(reason);
    return;
  }
  const auto is_final = item.refusal.result != outcome::kNotRun &&
                        !call.plan.is_idempotent &&
                        (++call.in_doubt_refusals >= kMaxInDoubtRefusals ||
                         item.refusal.result == outcome::kDone);
  if (is_final) {
    FinishCall(branch, call);
    return;
  }
  RetryCall(*request.branch, request.turn, kRetryDelay);
}

auto caller::FinishCall(caller_branch& branch, caller_call& call) -> void {
  call.is_done = true;
  branch.next_turn = call.plan.turn + 1;
  for (const auto& [turn, other] : branch.calls) {
    if (!other.is_done) {
      return;
    }
  }
  const auto is_first = branch.name == MainBranch() && !has_started_sub_;
  if (is_first) {
    has_started_sub_ = true;
    SendControl(control_step::kStart);
    return;
  }
  StartGroupLater(branch.name);
}

auto caller::StartGroupLater(const branch_id& branch) -> void {
  cluster_.Schedule(tool_pause_,
                    [this, branch] { StartGroup(branches_.at(branch)); });
}

auto caller::EndBranch(caller_branch& branch) -> void {
  branch.is_over = true;
  const auto is_all_over =
      branches_.at(MainBranch()).is_over &&
      (branches_.at(SubBranch()).is_over || !has_started_sub_);
  if (is_all_over && !has_joined_sub_) {
    has_joined_sub_ = true;
    SendControl(has_started_sub_ ? control_step::kJoin : control_step::kEnd);
  }
}

auto caller::GiveUp(program::refusal_reason reason) -> void {
  if (is_over_) {
    return;
  }
  is_over_ = true;
  auto event =
      MakeEvent(observed_event_kind::kProgramRefused, MainBranch(), 0, 0);
  event.reason = reason;
  cluster_.RecordEvent(event);
}

auto caller::MakeEvent(observed_event_kind kind,
                       const branch_id& branch,
                       program::turn_number turn,
                       std::uint64_t request) -> observed_event {
  auto event = observed_event{};
  event.kind = kind;
  event.branch = branch;
  event.turn = turn;
  event.request = request;
  return event;
}

}  // namespace daisywind::fault_matrix
