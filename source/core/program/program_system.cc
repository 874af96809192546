#include "program/program_system.h"

#include <algorithm>
#include <utility>

#include "program/attempts.h"
#include "program/calls.h"
#include "program/entry.h"
#include "program/epoch.h"
#include "program/lifecycle.h"
#include "program/orphans.h"
#include "program/reconfiguration.h"
#include "program/release.h"
#include "program/replication.h"
#include "program/replies.h"
#include "program/tables.h"

namespace daisywind::program {
namespace {

// Limit per tick on checks of copies whose members may be lost, so that the
// failure of a VM does not cause one long tick.
constexpr std::size_t kChecksPerTick = 2000;

// Interval in which expired references and votes are removed.
constexpr auto kSweepPeriod = duration{60s};

// Estimated overhead in bytes of a map node.
constexpr std::size_t kNodeBytes = 48;

auto OnLocate(system_tables& tables, const vm_ref& from, const locate& item)
    -> void {
  Send(
      tables, from,
      locate_reply{item.request, item.program, KnownSet(tables, item.program)});
}

auto OnLocateReply(system_tables& tables,
                   const vm_ref& from,
                   const locate_reply& item) -> void {
  const auto* copy = FindCopy(tables, item.program);
  // The owner no longer knows the program, so the witness erases its copy too.
  const auto is_abandoned =
      copy != nullptr && copy->role == copy_role::kWitness &&
      copy->replicas.owner == from && item.replicas.epoch == 0;
  if (is_abandoned) {
    DropProgram(tables, item.program, copy->replicas);
    return;
  }
  if (item.replicas.epoch == 0) {
    return;
  }
  ForgetOrphan(tables, item.program);
  if (item.replicas.epoch == kEndedEpoch) {
    DropProgram(tables, item.program, item.replicas);
    return;
  }
  const auto is_involved =
      copy != nullptr || tables.references.count(item.program) != 0;
  if (is_involved) {
    LearnReplicaSet(tables, item.program, item.replicas);
  }
  FollowSet(tables, item.program, item.replicas);
}

struct message_handler {
  system_tables& tables;
  const vm_ref& from;

  auto operator()(const forward_call& item) const -> void {
    OnForwardCall(tables, from, item);
  }
  auto operator()(const forward_control& item) const -> void {
    OnForwardControl(tables, from, item);
  }
  auto operator()(const forward_accepted& item) const -> void {
    OnForwardAccepted(tables, from, item);
  }
  auto operator()(const forward_poll& item) const -> void {
    OnForwardPoll(tables, from, item);
  }
  auto operator()(const forward_redirect& item) const -> void {
    OnForwardRedirect(tables, from, item);
  }
  auto operator()(const forward_cancel& item) const -> void {
    OnForwardCancel(tables, from, item);
  }
  auto operator()(const call_part& item) const -> void {
    OnCallPart(tables, from, item);
  }
  auto operator()(const call_end& item) const -> void {
    OnCallEnd(tables, from, item);
  }
  auto operator()(const call_problem& item) const -> void {
    OnCallProblem(tables, item);
  }
  auto operator()(const control_reply& item) const -> void {
    OnControlReply(tables, item);
  }
  auto operator()(const in_doubt_delivered& item) const -> void {
    OnInDoubtDelivered(tables, item);
  }
  auto operator()(const record_update& item) const -> void {
    OnRecordUpdate(tables, from, item);
  }
  auto operator()(const record_ack& item) const -> void {
    OnRecordAck(tables, item);
  }
  auto operator()(const prepare& item) const -> void {
    OnPrepare(tables, from, item);
  }
  auto operator()(const promise& item) const -> void {
    OnPromise(tables, from, item);
  }
  auto operator()(const accept& item) const -> void {
    OnAccept(tables, from, item);
  }
  auto operator()(const accepted& item) const -> void {
    OnAccepted(tables, from, item);
  }
  auto operator()(const ballot_refused& item) const -> void {
    OnBallotRefused(tables, item);
  }
  auto operator()(const install& item) const -> void {
    OnInstall(tables, from, item);
  }
  auto operator()(const install_ack& item) const -> void {
    OnInstallAck(tables, from, item);
  }
  auto operator()(const late_settlement& item) const -> void {
    OnLateSettlement(tables, from, item);
  }
  auto operator()(const late_settlement_ack& item) const -> void {
    OnLateSettlementAck(tables, item);
  }
  auto operator()(const locate& item) const -> void {
    OnLocate(tables, from, item);
  }
  auto operator()(const locate_reply& item) const -> void {
    OnLocateReply(tables, from, item);
  }
  auto operator()(const discard& item) const -> void {
    OnDiscard(tables, item);
  }
};

auto QueueRepairChecks(system_tables& tables) -> void {
  tables.check_queue.clear();
  for (const auto& [program, copy] : tables.copies) {
    if (NeedsRepair(tables, copy)) {
      tables.check_queue.push_back(program);
    }
  }
}

auto OnPeerLost(system_tables& tables, const vm_ref& vm) -> void {
  std::erase_if(tables.members.members,
                [&](const member& item) { return item.vm == vm; });
  QueueRepairChecks(tables);
}

auto OnShutdown(system_tables& tables) -> void {
  tables.is_shutting_down = true;
  tables.check_queue.clear();
  for (const auto& [program, copy] : tables.copies) {
    tables.check_queue.push_back(program);
  }
}

struct event_handler {
  system_tables& tables;

  auto operator()(const open_program& item) const -> void {
    OpenProgram(tables, item);
  }
  auto operator()(const call_arrived& item) const -> void {
    OnCallArrived(tables, item);
  }
  auto operator()(const control_arrived& item) const -> void {
    OnControlArrived(tables, item);
  }
  auto operator()(const caller_disconnected& item) const -> void {
    OnCallerDisconnected(tables, item);
  }
  auto operator()(const peer_message& item) const -> void {
    std::visit(message_handler{tables, item.from}, item.body);
  }
  auto operator()(const members_changed& item) const -> void {
    tables.members = MakeMemberTable(item.members);
    QueueRepairChecks(tables);
  }
  auto operator()(const peer_lost& item) const -> void {
    OnPeerLost(tables, item.vm);
  }
  auto operator()(const endpoint_granted& item) const -> void {
    OnEndpointGranted(tables, item);
  }
  auto operator()(const endpoint_refused& item) const -> void {
    OnEndpointRefused(tables, item);
  }
  auto operator()(const attempt_output& item) const -> void {
    OnAttemptOutput(tables, item);
  }
  auto operator()(const attempt_ended& item) const -> void {
    OnAttemptEnded(tables, item);
  }
  auto operator()(const lookup_result& item) const -> void {
    OnLookupResult(tables, item);
  }
  auto operator()(const release_confirmed& item) const -> void {
    OnReleaseConfirmed(tables, release_key{item.endpoint, item.program});
  }
  auto operator()(const endpoint_restarted& item) const -> void {
    OnEndpointRestarted(tables, item.endpoint);
  }
  auto operator()(const sessions_listed& item) const -> void {
    OnSessionsListed(tables, item);
  }
  auto operator()(const shutdown_requested& /*item*/) const -> void {
    OnShutdown(tables);
  }
};

struct timer_handler {
  system_tables& tables;

  auto operator()(const program_timer& item) const -> void {
    CheckCopy(tables, item.program);
  }
  auto operator()(const reconfiguration_timer& item) const -> void {
    CheckReconfiguration(tables, item.program);
  }
  auto operator()(const transfer_timer& item) const -> void {
    CheckTransfer(tables, item.program);
  }
  auto operator()(const entry_timer& item) const -> void {
    CheckRequest(tables, item.request);
  }
  auto operator()(const retired_timer& item) const -> void {
    CheckRetired(tables, item.attempt);
  }
  auto operator()(const release_timer& item) const -> void {
    CheckRelease(tables, item.key);
  }
};

auto DrainLoopback(system_tables& tables) -> void {
  while (!tables.loopback.empty()) {
    const auto body = std::move(tables.loopback.front());
    tables.loopback.pop_front();
    std::visit(message_handler{tables, tables.self}, body);
  }
}

auto TakeCommands(system_tables& tables) -> std::vector<command> {
  DrainLoopback(tables);
  return std::exchange(tables.out, {});
}

auto RunTimers(system_tables& tables) -> void {
  while (!tables.timers.empty() && tables.timers.top().first <= tables.now) {
    const auto target = tables.timers.top().second;
    tables.timers.pop();
    std::visit(timer_handler{tables}, target);
    DrainLoopback(tables);
  }
}

auto RunQueuedChecks(system_tables& tables) -> void {
  for (auto i = std::size_t{0};
       i < kChecksPerTick && !tables.check_queue.empty(); ++i) {
    const auto program = tables.check_queue.front();
    tables.check_queue.pop_front();
    CheckCopy(tables, program);
    DrainLoopback(tables);
  }
}

auto SweepExpired(system_tables& tables) -> void {
  if (tables.now < tables.next_sweep) {
    return;
  }
  tables.next_sweep = tables.now + kSweepPeriod;
  const auto oldest = tables.now - tables.options.vote_retention;
  std::erase_if(tables.references, [&](const auto& entry) {
    return entry.second.last_updated < oldest &&
           tables.copies.count(entry.first) == 0;
  });
  std::erase_if(tables.votes, [&](const auto& entry) {
    return entry.second.last_updated < oldest &&
           tables.copies.count(entry.first) == 0;
  });
}

}  // namespace

program_system::program_system(const program_options& options,
                               const vm_ref& self,
                               std::uint64_t seed)
    : tables_(std::make_unique<system_tables>(options, self, seed)) {}

program_system::~program_system() = default;
program_system::program_system(program_system&&) noexcept = default;
auto program_system::operator=(program_system&&) noexcept
    -> program_system& = default;

auto program_system::Handle(const event& input, instant now)
    -> std::vector<command> {
  tables_->now = std::max(tables_->now, now);
  std::visit(event_handler{*tables_}, input);
  return TakeCommands(*tables_);
}

auto program_system::Tick(instant now) -> std::vector<command> {
  tables_->now = std::max(tables_->now, now);
  RunTimers(*tables_);
  RunQueuedChecks(*tables_);
  SweepExpired(*tables_);
  return TakeCommands(*tables_);
}

auto program_system::IsDrained() const -> bool {
  return tables_->is_shutting_down && tables_->copies.empty() &&
         tables_->transfers.empty() && tables_->retired.empty() &&
         tables_->requests.empty() && tables_->releases.empty();
}

auto program_system::Stats() const -> program_stats {
  auto stats = program_stats{};
  for (const auto& [program, copy] : tables_->copies) {
    if (copy.role == copy_role::kOwner) {
      ++stats.owned;
      stats.running_calls += copy.live.size();
    } else {
      ++stats.witnessed;
    }
  }
  stats.votes = tables_->votes.size();
  stats.waiting_requests = tables_->requests.size();
  stats.releases_pending = tables_->releases.size();
  stats.takeovers = tables_->takeovers;
  stats.changes = tables_->reconfigurations_decided;
  stats.handovers = tables_->handovers;
  stats.lost_programs = tables_->lost_programs;
  return stats;
}

auto program_system::OwnedPrograms(std::size_t limit) const
    -> std::vector<program_view> {
  auto views = std::vector<program_view>{};
  for (const auto& [program, copy] : tables_->copies) {
    if (views.size() >= limit) {
      break;
    }
    if (copy.role == copy_role::kOwner) {
      views.push_back(ViewOf(*tables_, copy));
    }
  }
  return views;
}

auto program_system::MemoryEstimate() const -> std::size_t {
  auto bytes = std::size_t{0};
  for (const auto& [program, copy] : tables_->copies) {
    bytes += sizeof(program_copy) + kNodeBytes + MemoryOf(copy.state);
    for (const auto& [key, call] : copy.live) {
      bytes += sizeof(live_call) + kNodeBytes + call.text.capacity();
    }
  }
  bytes += tables_->votes.size() * (sizeof(vote_record) + kNodeBytes);
  bytes += tables_->references.size() * (sizeof(reference_record) + kNodeBytes);
  return bytes;
}

}  // namespace daisywind::program
