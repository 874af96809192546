#include "program/entry.h"

#include <algorithm>
#include <utility>

#include "program/lifecycle.h"
#include "program/replies.h"

namespace daisywind::program {
namespace {

// Marks the identifiers of requests that this VM makes itself. They get no
// reply commands.
constexpr request_id kInternalRequest = request_id{1} << 63U;

// Number of rounds over all members after which a program that none of them
// knows is reported as not found.
constexpr std::size_t kRoundsUntilNotFound = 2;

// Number of member time-outs after which a request that its owner had accepted
// is forwarded to another member.
constexpr int kTimeoutsUntilNextMember = 2;

auto IsInternal(request_id request) -> bool {
  return (request & kInternalRequest) != 0;
}

auto CallRefOf(const entry_request& item) -> call_ref {
  return call_ref{item.handle.program, item.call.branch, item.call.turn};
}

auto FindRequest(system_tables& tables, request_id request) -> entry_request* {
  const auto found = tables.requests.find(request);
  return found == tables.requests.end() ? nullptr : &found->second;
}

auto Forward(system_tables& tables, entry_request& item) -> void {
  item.is_forwarded = true;
  item.next_resend = tables.now + tables.options.resend_interval;
  if (item.kind == entry_kind::kControl) {
    Send(tables, item.target,
         forward_control{item.request, item.handle, item.organisation,
                         item.action, item.branch, item.parent,
                         item.is_owner_silent});
    return;
  }
  auto message = forward_call{};
  message.request = item.request;
  message.handle = item.handle;
  message.organisation = item.organisation;
  message.call = item.call;
  message.call.offset = item.offset;
  message.delivered = MakePayload(item.delivered);
  message.is_owner_silent = item.is_owner_silent;
  Send(tables, item.target, std::move(message));
}

auto ForwardTo(system_tables& tables, entry_request& item, const vm_ref& target)
    -> void {
  item.target = target;
  item.tried.insert(target);
  item.is_accepted = false;
  item.last_heard = tables.now;
  item.is_owner_silent = target != item.handle.replicas.owner;
  Forward(tables, item);
}

auto ForwardToOwner(system_tables& tables, entry_request& item) -> void {
  item.tried.clear();
  ForwardTo(tables, item, item.handle.replicas.owner);
}

// Asks other VMs for the current replica set of the program.
auto LocateOwner(system_tables& tables, const entry_request& item) -> void {
  for (const auto& vm : LocateCandidates(item.handle.program, tables.members)) {
    if (vm != tables.self) {
      Send(tables, vm, locate{item.request, item.handle.program});
    }
  }
}

// Erases a request. If the program was opened for this call alone, also ends
// the program.
auto Erase(system_tables& tables, request_id request) -> void {
  const auto found = tables.requests.find(request);
  const auto item = std::move(found->second);
  tables.requests.erase(found);
  tables.requests_by_program.erase({item.handle.program, request});
  if (!item.is_single_call || item.handle.program == program_id{}) {
    return;
  }
  auto end = control_arrived{};
  end.request = kInternalRequest | request;
  end.handle = item.handle;
  end.organisation = item.organisation;
  end.action = control_action::kEnd;
  OnControlArrived(tables, end);
}

auto Refuse(system_tables& tables, entry_request& item, const problem& refusal)
    -> void {
  if (item.has_head) {
    tables.out.emplace_back(reply_end{item.request, item.handle, {}, true});
  } else if (!IsInternal(item.request)) {
    tables.out.emplace_back(reply_problem{item.request, item.handle, refusal});
  }
  Erase(tables, item.request);
}

// Refuses a request that no owner has answered. Once a call has been forwarded,
// it may have run, so its outcome is unknown.
auto GiveUp(system_tables& tables, entry_request& item, refusal_reason reason)
    -> void {
  const auto result = item.is_forwarded ? outcome::kUnknown : outcome::kNotRun;
  Refuse(tables, item, MakeProblem(result, reason));
}

// Answers a request for a program that has ended. A request to end the program
// succeeds, because it may be a repeat of the one that ended it.
auto AnswerForEndedProgram(system_tables& tables, entry_request& item) -> void {
  const auto wants_end =
      item.kind == entry_kind::kControl && item.action == control_action::kEnd;
  if (!wants_end) {
    GiveUp(tables, item, refusal_reason::kProgramEnded);
    return;
  }
  if (!IsInternal(item.request)) {
    auto view = program_view{};
    view.handle = item.handle;
    view.organisation = item.organisation;
    view.is_ended = true;
    tables.out.emplace_back(reply_view{item.request, view});
  }
  Erase(tables, item.request);
}

// All members have been tried: starts a new round, or reports the program as
// not found.
auto EndRound(system_tables& tables, entry_request& item) -> void {
  ++item.rounds;
  const auto is_unknown_to_all = item.unknown_replies >= item.tried.size();
  if (is_unknown_to_all && item.rounds >= kRoundsUntilNotFound) {
    GiveUp(tables, item, refusal_reason::kProgramNotFound);
    return;
  }
  item.unknown_replies = 0;
  LocateOwner(tables, item);
  ForwardToOwner(tables, item);
}

auto TryNextMember(system_tables& tables, entry_request& item) -> void {
  for (const auto& vm : MembersOf(item.handle.replicas)) {
    if (item.tried.count(vm) == 0) {
      ForwardTo(tables, item, vm);
      return;
    }
  }
  EndRound(tables, item);
}

// Asks the owner of an accepted request for the missing part of the answer.
auto Poll(system_tables& tables, entry_request& item) -> void {
  item.next_resend = tables.now + tables.options.resend_interval;
  if (item.kind == entry_kind::kControl) {
    Forward(tables, item);
    return;
  }
  Send(tables, item.target,
       forward_poll{item.request, CallRefOf(item), item.offset});
}

auto AdoptReplicas(entry_request& item, const replica_set& replicas) -> void {
  if (replicas.epoch > item.handle.replicas.epoch &&
      replicas.epoch != kEndedEpoch) {
    item.handle.replicas = replicas;
  }
}

auto StartRequest(system_tables& tables, entry_request item) -> void {
  const auto request = item.request;
  auto known = replica_set{};
  if (const auto* copy = FindCopy(tables, item.handle.program)) {
    known = copy->replicas;
  }
  AdoptReplicas(item, known);
  item.arrived = tables.now;
  item.silent_since = tables.now;
  auto& stored = tables.requests[request] = std::move(item);
  tables.requests_by_program.insert({stored.handle.program, request});
  const auto& replicas = stored.handle.replicas;
  const auto is_owner_live =
      replicas.owner == tables.self ||
      FindMember(tables.members, replicas.owner) != nullptr;
  Arm(tables, tables.now + tables.options.resend_interval,
      entry_timer{request});
  if (is_owner_live || replicas.witness.empty()) {
    ForwardToOwner(tables, stored);
    return;
  }
  stored.tried.insert(replicas.owner);
  ForwardTo(tables, stored, replicas.witness);
}

// Tells the owner that the caller has been informed of a call in doubt. The
// owner admits the next turn only after that.
auto ReportInDoubtDelivered(system_tables& tables,
                            const entry_request& item,
                            const problem& refusal) -> void {
  auto call = CallRefOf(item);
  if (refusal.reason == refusal_reason::kPreviousInDoubt) {
    --call.turn;
  } else if (refusal.reason != refusal_reason::kInDoubt) {
    return;
  }
  Send(tables, item.handle.replicas.owner, in_doubt_delivered{call});
}

auto HasRoom(const system_tables& tables) -> bool {
  return tables.requests.size() < tables.options.max_waiting_requests;
}

auto RefuseAtOnce(system_tables& tables,
                  request_id request,
                  const program_handle& handle,
                  refusal_reason reason) -> void {
  tables.out.emplace_back(
      reply_problem{request, handle, MakeProblem(outcome::kNotRun, reason)});
}

}  // namespace

auto OnCallArrived(system_tables& tables, const call_arrived& item) -> void {
  // The call may be a repeat of one that has run, so the outcome is unknown
  // although this request is refused before it is forwarded.
  if (!HasRoom(tables)) {
    tables.out.emplace_back(reply_problem{
        item.request, item.handle,
        MakeProblem(outcome::kUnknown, refusal_reason::kOverloaded)});
    return;
  }
  auto request = entry_request{};
  request.request = item.request;
  request.kind = entry_kind::kCall;
  request.handle = item.handle;
  request.organisation = item.organisation;
  request.call = item.call;
  request.offset = item.call.offset;
  if (item.handle.program != program_id{}) {
    StartRequest(tables, std::move(request));
    return;
  }
  request.is_single_call = true;
  request.arrived = tables.now;
  request.silent_since = tables.now;
  tables.requests[item.request] = std::move(request);
  OpenProgram(tables, open_program{item.request, item.organisation,
                                   item.service_class, item.limits});
}

auto OnControlArrived(system_tables& tables, const control_arrived& item)
    -> void {
  if (!HasRoom(tables) && !IsInternal(item.request)) {
    RefuseAtOnce(tables, item.request, item.handle,
                 refusal_reason::kOverloaded);
    return;
  }
  auto request = entry_request{};
  request.request = item.request;
  request.kind = entry_kind::kControl;
  request.handle = item.handle;
  request.organisation = item.organisation;
  request.action = item.action;
  request.branch = item.branch;
  request.parent = item.parent;
  StartRequest(tables, std::move(request));
}

auto OnCallerDisconnected(system_tables& tables,
                          const caller_disconnected& item) -> void {
  auto* request = FindRequest(tables, item.request);
  if (request == nullptr) {
    return;
  }
  if (request->is_forwarded && request->kind == entry_kind::kCall) {
    Send(tables, request->target,
         forward_cancel{item.request, CallRefOf(*request)});
  }
  Erase(tables, item.request);
}

auto AnswerOpen(system_tables& tables,
                request_id request,
                const program_view& view) -> void {
  auto* item = FindRequest(tables, request);
  if (item == nullptr) {
    tables.out.emplace_back(reply_view{request, view});
    return;
  }
  auto call = std::move(*item);
  call.handle = view.handle;
  StartRequest(tables, std::move(call));
}

auto RefuseOpen(system_tables& tables,
                request_id request,
                const problem& refusal) -> void {
  tables.requests.erase(request);
  tables.out.emplace_back(reply_problem{request, program_handle{}, refusal});
}

auto CheckRequest(system_tables& tables, request_id request) -> void {
  auto* item = FindRequest(tables, request);
  if (item == nullptr) {
    return;
  }
  Arm(tables, tables.now + tables.options.resend_interval / 2,
      entry_timer{request});
  const auto& options = tables.options;
  const auto is_opening = item->target.empty();
  if (is_opening) {
    return;
  }
  if (tables.now >= item->silent_since + options.forward_timeout) {
    GiveUp(tables, *item, refusal_reason::kOwnerUnreachable);
    return;
  }
  const auto factor = item->is_accepted ? kTimeoutsUntilNextMember : 1;
  if (tables.now >= item->last_heard + factor * options.member_timeout) {
    TryNextMember(tables, *item);
    return;
  }
  if (tables.now < item->next_resend) {
    return;
  }
  if (item->is_accepted) {
    Poll(tables, *item);
  } else {
    Forward(tables, *item);
  }
}

auto OnForwardAccepted(system_tables& tables,
                       const vm_ref& from,
                       const forward_accepted& item) -> void {
  auto* request = FindRequest(tables, item.request);
  if (request == nullptr || request->target != from) {
    return;
  }
  AdoptReplicas(*request, item.replicas);
  request->is_accepted = true;
  request->last_heard = tables.now;
  request->silent_since = tables.now;
  request->next_resend = tables.now + tables.options.resend_interval;
}

auto OnForwardRedirect(system_tables& tables,
                       const vm_ref& from,
                       const forward_redirect& item) -> void {
  auto* request = FindRequest(tables, item.request);
  if (request == nullptr || request->handle.program != item.program) {
    return;
  }
  if (item.replicas.epoch == kEndedEpoch) {
    AnswerForEndedProgram(tables, *request);
    return;
  }
  if (item.replicas.epoch > request->handle.replicas.epoch) {
    AdoptReplicas(*request, item.replicas);
    ForwardToOwner(tables, *request);
    return;
  }
  if (request->target != from) {
    return;
  }
  if (item.replicas.epoch == 0) {
    ++request->unknown_replies;
    TryNextMember(tables, *request);
    return;
  }
  // The owner no longer has a call that it had accepted, so it is sent again.
  if (request->is_accepted) {
    request->is_accepted = false;
    Forward(tables, *request);
  }
}

auto OnCallPart(system_tables& tables,
                const vm_ref& from,
                const call_part& item) -> void {
  auto* request = FindRequest(tables, item.request);
  // Text from a previous owner may come from another attempt.
  if (request == nullptr || request->target != from) {
    return;
  }
  AdoptReplicas(*request, item.replicas);
  request->last_heard = tables.now;
  request->silent_since = tables.now;
  const auto bytes = BytesOf(item.bytes);
  const auto end = item.offset + bytes.size();
  if (item.offset > request->offset) {
    Poll(tables, *request);
    return;
  }
  if (end <= request->offset) {
    return;
  }
  const auto fresh = bytes.substr(request->offset - item.offset);
  if (!request->has_head) {
    request->has_head = true;
    tables.out.emplace_back(reply_head{request->request, request->handle});
  }
  tables.out.emplace_back(reply_part{request->request, request->offset,
                                     MakePayload(std::string{fresh})});
  request->delivered += fresh;
  request->offset = end;
}

auto OnCallEnd(system_tables& tables, const vm_ref& from, const call_end& item)
    -> void {
  auto* request = FindRequest(tables, item.request);
  if (request == nullptr || request->kind != entry_kind::kCall) {
    return;
  }
  AdoptReplicas(*request, item.replicas);
  if (item.is_lost) {
    Refuse(tables, *request,
           MakeProblem(outcome::kUnknown, refusal_reason::kStreamLost));
    return;
  }
  const auto lacks_text =
      request->call.is_stream && request->offset < item.text_bytes;
  if (lacks_text) {
    if (request->target == from) {
      Poll(tables, *request);
    }
    return;
  }
  tables.out.emplace_back(
      reply_end{item.request, request->handle, item.answer, false});
  Erase(tables, item.request);
}

auto OnCallProblem(system_tables& tables, const call_problem& item) -> void {
  auto* request = FindRequest(tables, item.request);
  if (request == nullptr) {
    return;
  }
  AdoptReplicas(*request, item.replicas);
  ReportInDoubtDelivered(tables, *request, item.refusal);
  Refuse(tables, *request, item.refusal);
}

auto OnControlReply(system_tables& tables, const control_reply& item) -> void {
  const auto* request = FindRequest(tables, item.request);
  if (request == nullptr || request->kind != entry_kind::kControl) {
    return;
  }
  if (!IsInternal(item.request)) {
    tables.out.emplace_back(reply_view{item.request, item.view});
  }
  Erase(tables, item.request);
}

auto FollowSet(system_tables& tables,
               const program_id& program,
               const replica_set& replicas) -> void {
  auto stale = std::vector<request_id>{};
  auto next = tables.requests_by_program.lower_bound({program, 0});
  while (next != tables.requests_by_program.end() && next->first == program) {
    stale.push_back(next->second);
    ++next;
  }
  for (const auto request : stale) {
    auto* item = FindRequest(tables, request);
    const auto follows = item != nullptr && replicas.epoch != kEndedEpoch &&
                         item->handle.replicas.epoch < replicas.epoch;
    if (follows) {
      AdoptReplicas(*item, replicas);
      ForwardToOwner(tables, *item);
    }
  }
}

}  // namespace daisywind::program
