#include "program/lifecycle.h"

#include <algorithm>
#include <utility>

#include "program/attempts.h"
#include "program/calls.h"
#include "program/deadlines.h"
#include "program/entry.h"
#include "program/epoch.h"
#include "program/reconfiguration.h"
#include "program/release.h"
#include "program/replication.h"
#include "program/replies.h"

namespace daisywind::program {
namespace {

constexpr std::string_view kMainBranch = "main";

// Number of audit periods after the program should have ended when a copy that
// is not an active owner is given up as lost.
constexpr int kLostAfterAudits = 5;

auto FirstSet(const system_tables& tables, const program_id& program)
    -> replica_set {
  auto set = replica_set{};
  set.epoch = 1;
  set.owner = tables.self;
  auto taken = std::vector<vm_ref>{set.owner};
  set.witness = ChooseWitness(program, tables.members, set.owner, taken);
  taken.push_back(set.witness);
  set.arbiter =
      ChooseArbiter(program, tables.members, set.owner, set.witness, taken);
  return set;
}

auto RefuseControl(system_tables& tables,
                   const program_copy& copy,
                   const vm_ref& from,
                   const forward_control& item,
                   refusal_reason reason) -> void {
  SendProblem(tables, copy, from, item.request,
              MakeProblem(outcome::kNotRun, reason));
}

auto ReplyView(system_tables& tables,
               const program_copy& copy,
               const vm_ref& from,
               request_id request) -> void {
  Send(tables, from, control_reply{request, ViewOf(tables, copy)});
}

// Answers a request once all updates up to the current one are recorded.
auto ReplyWhenRecorded(system_tables& tables,
                       program_copy& copy,
                       const vm_ref& from,
                       request_id request) -> void {
  for (const auto& control : copy.controls) {
    if (control.origin == from && control.request == request) {
      return;
    }
  }
  copy.controls.push_back(pending_control{from, request, copy.sequence});
  AnswerControls(tables, copy);
}

auto StartBranch(system_tables& tables,
                 program_copy& copy,
                 const vm_ref& from,
                 const forward_control& item) -> void {
  const auto refuse = [&](refusal_reason reason) {
    RefuseControl(tables, copy, from, item, reason);
  };
  if (copy.state.is_ended) {
    return refuse(refusal_reason::kProgramEnded);
  }
  if (const auto* known = FindBranch(copy.state, item.branch)) {
    const auto is_repeat = known->parent == item.parent &&
                           known->last_turn == 0 && !known->is_joined;
    if (!is_repeat) {
      return refuse(refusal_reason::kBranchExists);
    }
    return ReplyWhenRecorded(tables, copy, from, item.request);
  }
  if (FindBranch(copy.state, item.parent) == nullptr) {
    return refuse(refusal_reason::kBranchNotFound);
  }
  if (copy.state.branches.size() >= tables.options.max_branches) {
    return refuse(refusal_reason::kMemoryBound);
  }
  Append(tables, copy, branch_started{item.branch, item.parent});
  ReplyWhenRecorded(tables, copy, from, item.request);
}

auto JoinBranch(system_tables& tables,
                program_copy& copy,
                const vm_ref& from,
                const forward_control& item) -> void {
  const auto* branch = FindBranch(copy.state, item.branch);
  if (branch == nullptr) {
    RefuseControl(tables, copy, from, item, refusal_reason::kBranchNotFound);
    return;
  }
  const auto is_busy = std::any_of(
      copy.live.begin(), copy.live.end(),
      [&](const auto& entry) { return entry.first.first == item.branch; });
  if (is_busy) {
    RefuseControl(tables, copy, from, item, refusal_reason::kBranchBusy);
    return;
  }
  if (!branch->is_joined) {
    Append(tables, copy, branch_joined{item.branch});
  }
  ReplyWhenRecorded(tables, copy, from, item.request);
}

// Cancels the running calls and refuses the waiting ones. Running calls stay
// until their attempts end, so that memory is released only after its last use.
auto StopCalls(system_tables& tables, program_copy& copy) -> void {
  auto stopped = std::vector<live_key>{};
  for (auto& [key, call] : copy.live) {
    const auto name = call_ref{copy.state.id, key.first, key.second};
    if (call.phase == live_phase::kRunning) {
      tables.out.emplace_back(
          cancel_attempt{attempt_ref{name, call.attempt}, call.endpoint});
      continue;
    }
    if (call.phase == live_phase::kWaitingForEndpoint) {
      tables.out.emplace_back(abandon_endpoint{name});
    }
    const auto is_waiting = call.phase == live_phase::kWaitingForTurn ||
                            call.phase == live_phase::kWaitingForEndpoint ||
                            call.phase == live_phase::kWaitingInDoubt;
    if (is_waiting) {
      const auto* record = FindCall(copy.state, key.first, key.second);
      const auto result =
          record == nullptr ? outcome::kNotRun : outcome::kUnknown;
      SendProblem(tables, copy, call,
                  MakeProblem(result, refusal_reason::kProgramEnded));
      stopped.push_back(key);
    }
  }
  for (const auto& key : stopped) {
    copy.live.erase(key);
  }
}

auto EndProgram(system_tables& tables, program_copy& copy) -> void {
  if (copy.state.is_ended) {
    return;
  }
  Append(tables, copy, program_ended{});
  StopCalls(tables, copy);
}

auto IsExpired(const system_tables& tables, const program_copy& copy) -> bool {
  const auto& options = tables.options;
  const auto is_idle = copy.live.empty() &&
                       tables.now >= copy.last_activity + options.idle_limit;
  return is_idle || tables.now >= copy.opened + copy.state.limits.time;
}

auto CheckOwner(system_tables& tables, program_copy& copy) -> void {
  const auto program = copy.state.id;
  ResendUpdates(tables, copy);
  CheckInstall(tables, copy);
  const auto open_since = copy.inactive_since + tables.options.intent_timeout;
  if (copy.open_request && tables.now >= open_since) {
    FailOpen(tables, copy, refusal_reason::kWitnessUnreachable);
  }
  if (MayAct(copy) && !copy.state.is_ended && IsExpired(tables, copy)) {
    EndProgram(tables, copy);
  }
  AdmitWaiting(tables, copy);
  CheckDeadlines(tables, copy);
  if (FindOwned(tables, program) != nullptr) {
    CheckEnding(tables, copy);
  }
}

// Gives up a program whose time is over and whose replica set has lost its
// majority, so that no new set can be decided. Releases its engine memory.
auto AbandonLost(system_tables& tables, const program_copy& copy) -> void {
  ++tables.lost_programs;
  for (const auto& endpoint : copy.state.holders) {
    StartRelease(tables, release_key{endpoint, copy.state.id});
  }
  const auto program = copy.state.id;
  tables.reconfigurations.erase(program);
  tables.copies.erase(program);
}

// When the program ends if no further call arrives.
auto ExpiryTime(const system_tables& tables, const program_copy& copy)
    -> instant {
  const auto limit = std::min(copy.last_activity + tables.options.idle_limit,
                              copy.opened + copy.state.limits.time);
  return copy.state.is_ended ? copy.last_activity : limit;
}

auto IsLost(const system_tables& tables, const program_copy& copy) -> bool {
  const auto can_act = copy.role == copy_role::kOwner && MayAct(copy);
  return !can_act &&
         tables.now >= ExpiryTime(tables, copy) +
                           kLostAfterAudits * tables.options.audit_period;
}

// The members that are not live, and the witness if it has not acknowledged an
// update or the installed state within the witness time-out.
auto SilentMembers(const system_tables& tables, const program_copy& copy)
    -> std::set<vm_ref> {
  const auto bound = tables.options.witness_timeout;
  const auto is_owner = copy.role == copy_role::kOwner;
  const auto ignores_updates =
      !copy.outbox.empty() && tables.now >= copy.outbox_since + bound;
  const auto ignores_install =
      !copy.is_active && tables.now >= copy.inactive_since + bound;
  auto silent = LostMembers(tables, copy);
  if (is_owner && (ignores_updates || ignores_install)) {
    silent.insert(copy.replicas.witness);
  }
  return silent;
}

auto CheckReplicas(system_tables& tables, program_copy& copy) -> void {
  if (tables.reconfigurations.count(copy.state.id) != 0) {
    return;
  }
  const auto silent = SilentMembers(tables, copy);
  // Another proposer closed the epoch and may have failed before a decision.
  const auto is_stuck =
      copy.is_closed &&
      tables.now >= copy.closed_since + tables.options.witness_timeout;
  const auto has_silent_witness = copy.role == copy_role::kOwner &&
                                  silent.count(copy.replicas.witness) != 0;
  if (is_stuck || has_silent_witness || NeedsRepair(tables, copy)) {
    ProposeRepair(tables, copy, silent);
    return;
  }
  const auto hands_over = tables.is_shutting_down && MayAct(copy) &&
                          copy.outbox.empty() && !copy.replicas.witness.empty();
  const auto is_quiet =
      std::all_of(copy.live.begin(), copy.live.end(), [](const auto& entry) {
        return entry.second.phase == live_phase::kWaitingForTurn;
      });
  if (hands_over && is_quiet && !copy.state.is_ended) {
    ++tables.handovers;
    ProposeHandover(tables, copy);
  }
}

auto CheckWitness(system_tables& tables, program_copy& copy) -> void {
  const auto& options = tables.options;
  const auto due = ExpiryTime(tables, copy);
  const auto audits = tables.now >= due + options.audit_period &&
                      tables.now >= copy.audited + options.audit_period;
  if (audits) {
    copy.audited = tables.now;
    Send(tables, copy.replicas.owner, locate{0, copy.state.id});
  }
}

auto IsBusy(const system_tables& tables, const program_copy& copy) -> bool {
  const auto has_work = !copy.live.empty() || !copy.outbox.empty() ||
                        !copy.is_active || copy.is_closed ||
                        copy.state.is_ended || copy.open_request;
  return has_work || tables.is_shutting_down || NeedsRepair(tables, copy);
}

auto NextCheck(const system_tables& tables, const program_copy& copy)
    -> instant {
  const auto& options = tables.options;
  if (IsBusy(tables, copy)) {
    return tables.now + options.resend_interval / 2;
  }
  return std::max(ExpiryTime(tables, copy), tables.now + options.audit_period);
}

}  // namespace

auto OpenProgram(system_tables& tables, const open_program& item) -> void {
  const auto memory = tables.references.size() + tables.votes.size();
  const auto refuse = [&](refusal_reason reason) {
    RefuseOpen(tables, item.request, MakeProblem(outcome::kNotRun, reason));
  };
  if (tables.is_shutting_down) {
    return refuse(refusal_reason::kShuttingDown);
  }
  const auto is_full = tables.copies.size() >= tables.options.max_programs ||
                       memory >= tables.options.max_references;
  if (is_full) {
    return refuse(refusal_reason::kMemoryBound);
  }
  auto copy = program_copy{};
  copy.state.id = program_id{tables.random.Next(), tables.random.Next()};
  copy.state.organisation = item.organisation;
  copy.state.service_class = item.service_class;
  copy.state.limits = item.limits;
  copy.state.limits.calls =
      std::min(item.limits.calls, tables.options.max_calls);
  copy.state.limits.time =
      std::min(item.limits.time, tables.options.time_limit);
  copy.opened = tables.now;
  copy.open_request = item.request;
  Apply(branch_started{branch_id{std::string{kMainBranch}}, branch_id{}},
        tables.options.bounds, copy.state);
  const auto program = copy.state.id;
  auto& stored = tables.copies[program] = std::move(copy);
  BecomeOwner(tables, stored, FirstSet(tables, program));
}

auto FinishOpen(system_tables& tables, program_copy& copy) -> void {
  if (!copy.open_request) {
    return;
  }
  const auto request = *copy.open_request;
  copy.open_request.reset();
  AnswerOpen(tables, request, ViewOf(tables, copy));
}

auto OnForwardControl(system_tables& tables,
                      const vm_ref& from,
                      const forward_control& item) -> void {
  auto* copy = FindOwned(tables, item.handle.program);
  if (copy == nullptr) {
    RedirectRequest(tables, from, item.request, item.handle,
                    item.is_owner_silent);
    return;
  }
  if (copy->state.organisation != item.organisation) {
    RefuseControl(tables, *copy, from, item,
                  refusal_reason::kWrongOrganisation);
    return;
  }
  Send(tables, from, forward_accepted{item.request, copy->replicas});
  if (item.action == control_action::kQuery) {
    ReplyView(tables, *copy, from, item.request);
    return;
  }
  // The entry VM resends its request, so an inactive owner need not keep it.
  if (!MayAct(*copy)) {
    return;
  }
  if (item.action == control_action::kStart) {
    StartBranch(tables, *copy, from, item);
    return;
  }
  if (item.action == control_action::kJoin) {
    JoinBranch(tables, *copy, from, item);
    return;
  }
  EndProgram(tables, *copy);
  ReplyWhenRecorded(tables, *copy, from, item.request);
  CheckEnding(tables, *copy);
}

auto AnswerControls(system_tables& tables, program_copy& copy) -> void {
  if (!copy.is_active) {
    return;
  }
  std::erase_if(copy.controls, [&](const pending_control& control) {
    const auto is_recorded = IsRecorded(copy, control.sequence);
    if (is_recorded) {
      ReplyView(tables, copy, control.origin, control.request);
    }
    return is_recorded;
  });
}

auto CheckEnding(system_tables& tables, program_copy& copy) -> void {
  const auto is_over = copy.state.is_ended && copy.live.empty() &&
                       MayAct(copy) && copy.outbox.empty();
  if (!is_over) {
    return;
  }
  ReleaseAll(tables, copy);
  if (!copy.state.holders.empty()) {
    return;
  }
  const auto replicas = copy.replicas;
  const auto program = copy.state.id;
  for (const auto& vm : {replicas.witness, replicas.arbiter}) {
    Send(tables, vm, discard{program, replicas.epoch});
  }
  DropProgram(tables, program, replicas);
}

auto CheckCopy(system_tables& tables, const program_id& program) -> void {
  auto* copy = FindCopy(tables, program);
  if (copy == nullptr) {
    return;
  }
  copy->armed = instant::max();
  if (copy->role == copy_role::kOwner) {
    CheckOwner(tables, *copy);
  } else {
    CheckWitness(tables, *copy);
  }
  copy = FindCopy(tables, program);
  if (copy == nullptr) {
    return;
  }
  if (IsLost(tables, *copy)) {
    AbandonLost(tables, *copy);
    return;
  }
  CheckReplicas(tables, *copy);
  ArmCopy(tables, *copy, NextCheck(tables, *copy));
}

}  // namespace daisywind::program
