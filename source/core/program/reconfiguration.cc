#include "program/reconfiguration.h"

#include <algorithm>
#include <utility>

#include "program/epoch.h"

namespace daisywind::program {
namespace {

// Number of resends after which an undecided proposal starts a higher ballot.
constexpr int kResendsPerBallot = 4;

auto IsLive(const system_tables& tables, const vm_ref& vm) -> bool {
  return vm == tables.self || FindMember(tables.members, vm) != nullptr;
}

auto IsLeaving(const system_tables& tables, const vm_ref& vm) -> bool {
  const auto* found = FindMember(tables.members, vm);
  return found != nullptr && found->is_leaving;
}

auto IsUsable(const system_tables& tables,
              const std::set<vm_ref>& suspects,
              const vm_ref& vm) -> bool {
  return !vm.empty() && IsLive(tables, vm) && !IsLeaving(tables, vm) &&
         suspects.count(vm) == 0;
}

// Excludes the suspects, unless no other VM is available: a live suspect is
// better than no witness.
auto PickWitness(const system_tables& tables,
                 const program_copy& copy,
                 const vm_ref& owner,
                 const std::vector<vm_ref>& taken,
                 const std::set<vm_ref>& suspects) -> vm_ref {
  auto excluded = taken;
  excluded.insert(excluded.end(), suspects.begin(), suspects.end());
  const auto vm = ChooseWitness(copy.state.id, tables.members, owner, excluded);
  return vm.empty() ? ChooseWitness(copy.state.id, tables.members, owner, taken)
                    : vm;
}

auto PickArbiter(const system_tables& tables,
                 const program_copy& copy,
                 const replica_set& next,
                 const std::vector<vm_ref>& taken,
                 const std::set<vm_ref>& suspects) -> vm_ref {
  auto excluded = taken;
  excluded.insert(excluded.end(), suspects.begin(), suspects.end());
  const auto vm = ChooseArbiter(copy.state.id, tables.members, next.owner,
                                next.witness, excluded);
  return vm.empty() ? ChooseArbiter(copy.state.id, tables.members, next.owner,
                                    next.witness, taken)
                    : vm;
}

// Keeps the usable members in their roles and fills the remaining roles.
auto FillSet(const system_tables& tables,
             const program_copy& copy,
             replica_set next,
             const vm_ref& leaving,
             const std::set<vm_ref>& suspects) -> replica_set {
  auto taken = std::vector<vm_ref>{next.owner};
  if (!leaving.empty()) {
    taken.push_back(leaving);
  }
  const auto keeps_arbiter = IsUsable(tables, suspects, next.arbiter);
  if (!IsUsable(tables, suspects, next.witness)) {
    auto others = taken;
    if (keeps_arbiter) {
      others.push_back(next.arbiter);
    }
    next.witness = PickWitness(tables, copy, next.owner, others, suspects);
    if (next.witness.empty() && keeps_arbiter) {
      next.witness = next.arbiter;
      next.arbiter = vm_ref{};
    }
  }
  if (!keeps_arbiter || next.arbiter.empty()) {
    taken.push_back(next.witness);
    next.arbiter = PickArbiter(tables, copy, next, taken, suspects);
  }
  return next;
}

// The next replica set with this VM as owner. A witness makes the previous
// owner a suspect, which stays a member only if no other VM can replace it.
auto RepairedSet(const system_tables& tables,
                 const program_copy& copy,
                 const std::set<vm_ref>& suspects) -> replica_set {
  auto next = copy.replicas;
  ++next.epoch;
  if (copy.role == copy_role::kWitness) {
    next.witness = next.owner;
    next.owner = tables.self;
    auto all = suspects;
    all.insert(next.witness);
    return FillSet(tables, copy, next, vm_ref{}, all);
  }
  return FillSet(tables, copy, next, vm_ref{}, suspects);
}

auto SendBallot(system_tables& tables,
                const program_id& program,
                const reconfiguration_record& change) -> void {
  for (const auto& vm : MembersOf(change.current)) {
    if (change.phase == ballot_phase::kPreparing) {
      Send(tables, vm, prepare{program, change.current, change.number});
    } else {
      Send(tables, vm,
           accept{program, change.current, change.number, change.value});
    }
  }
}

auto StartBallot(system_tables& tables,
                 const program_id& program,
                 reconfiguration_record& change,
                 std::uint32_t above_round) -> void {
  const auto round = std::max(above_round, change.highest_round) + 1;
  change.highest_round = round;
  change.number = ballot{round, tables.self};
  change.phase = ballot_phase::kPreparing;
  change.agreed.clear();
  change.value = change.proposed;
  change.value_number = ballot{};
  change.next_resend = tables.now + tables.options.resend_interval;
  // The random delay lets one of two competing proposers finish before the
  // other starts a higher ballot.
  const auto spread = static_cast<std::uint64_t>(
      tables.options.resend_interval.count() * kResendsPerBallot);
  change.next_ballot =
      tables.now + kResendsPerBallot * tables.options.resend_interval +
      duration{static_cast<duration::rep>(tables.random.UniformBelow(spread))};
  SendBallot(tables, program, change);
}

auto StartReconfiguration(system_tables& tables,
                          program_copy& copy,
                          const replica_set& proposed) -> void {
  const auto& program = copy.state.id;
  if (tables.reconfigurations.count(program) != 0) {
    return;
  }
  auto change = reconfiguration_record{};
  change.current = copy.replicas;
  change.proposed = proposed;
  const auto vote = tables.votes.find(program);
  const auto has_vote =
      vote != tables.votes.end() && vote->second.epoch == copy.replicas.epoch;
  const auto round = has_vote ? vote->second.promised.round : 0;
  auto& stored = tables.reconfigurations[program] = std::move(change);
  StartBallot(tables, program, stored, round);
  Arm(tables, stored.next_resend, reconfiguration_timer{program});
}

// True when this VM may vote on the next replica set. An owner or witness that
// has lost its copy must not vote, or updates that it had acknowledged could be
// missing from the next epoch.
auto MayVote(system_tables& tables,
             const program_id& program,
             const replica_set& current) -> bool {
  if (!IsMember(current, tables.self)) {
    return false;
  }
  if (KnownSet(tables, program).epoch > current.epoch) {
    return false;
  }
  const auto vote = tables.votes.find(program);
  if (vote != tables.votes.end() && vote->second.epoch > current.epoch) {
    return false;
  }
  if (current.arbiter == tables.self) {
    return true;
  }
  const auto* copy = FindCopy(tables, program);
  return copy != nullptr && copy->replicas == current;
}

auto VoteOf(system_tables& tables,
            const program_id& program,
            epoch_number epoch) -> vote_record& {
  auto& vote = tables.votes[program];
  if (vote.epoch < epoch) {
    vote = vote_record{};
    vote.epoch = epoch;
  }
  vote.last_updated = tables.now;
  return vote;
}

// Stops recording updates in an epoch, since this VM has promised a ballot.
auto CloseEpoch(system_tables& tables,
                const program_id& program,
                epoch_number epoch) -> void {
  auto* copy = FindCopy(tables, program);
  const auto closes = copy != nullptr && copy->replicas.epoch == epoch &&
                      !copy->is_closed &&
                      !tables.options.mutations.keep_epoch_open;
  if (closes) {
    copy->is_closed = true;
    copy->closed_since = tables.now;
    ArmCopy(tables, *copy, tables.now + tables.options.resend_interval);
  }
}

auto RefuseBallot(system_tables& tables,
                  const vm_ref& to,
                  const program_id& program,
                  epoch_number epoch,
                  const ballot& promised) -> void {
  const auto known = KnownSet(tables, program);
  const auto is_later = known.epoch > epoch;
  Send(tables, to,
       ballot_refused{program, epoch, promised,
                      is_later ? known : replica_set{}});
}

// Promises the ballot of a prepare or accept message and returns the vote.
// Refuses the ballot and returns null when this VM may not vote or has promised
// a higher ballot.
template <class Proposal>
auto PromiseBallot(system_tables& tables,
                   const vm_ref& from,
                   const Proposal& item) -> vote_record* {
  const auto epoch = item.current.epoch;
  if (!MayVote(tables, item.program, item.current)) {
    RefuseBallot(tables, from, item.program, epoch, ballot{});
    return nullptr;
  }
  auto& vote = VoteOf(tables, item.program, epoch);
  if (item.number < vote.promised) {
    RefuseBallot(tables, from, item.program, epoch, vote.promised);
    return nullptr;
  }
  vote.promised = item.number;
  return &vote;
}

auto FindReconfiguration(system_tables& tables,
                         const program_id& program,
                         epoch_number epoch) -> reconfiguration_record* {
  const auto found = tables.reconfigurations.find(program);
  const auto fits = found != tables.reconfigurations.end() &&
                    found->second.current.epoch == epoch;
  return fits ? &found->second : nullptr;
}

// Announces a decided replica set to the members of the old and the new set.
auto Decide(system_tables& tables,
            const program_id& program,
            const reconfiguration_record& change) -> void {
  ++tables.reconfigurations_decided;
  auto notified = std::set<vm_ref>{};
  for (const auto& set : {change.current, change.value}) {
    for (const auto& vm : MembersOf(set)) {
      if (vm != tables.self && notified.insert(vm).second) {
        Send(tables, vm, locate_reply{0, program, change.value});
      }
    }
  }
  LearnReplicaSet(tables, program, change.value);
}

}  // namespace

auto LostMembers(const system_tables& tables, const program_copy& copy)
    -> std::set<vm_ref> {
  auto lost = std::set<vm_ref>{};
  for (const auto& vm : MembersOf(copy.replicas)) {
    if (!IsLive(tables, vm)) {
      lost.insert(vm);
    }
  }
  return lost;
}

auto NeedsRepair(const system_tables& tables, const program_copy& copy)
    -> bool {
  const auto lost = LostMembers(tables, copy);
  if (copy.role == copy_role::kWitness) {
    return lost.count(copy.replicas.owner) != 0;
  }
  const auto leaves = IsLeaving(tables, copy.replicas.witness) ||
                      IsLeaving(tables, copy.replicas.arbiter);
  if (!lost.empty() || leaves) {
    return true;
  }
  const auto present = MembersOf(copy.replicas).size();
  constexpr auto kFullSet = std::size_t{3};
  if (present == kFullSet) {
    return false;
  }
  const auto others =
      std::count_if(tables.members.members.begin(),
                    tables.members.members.end(), [&](const member& item) {
                      return item.vm != tables.self && !item.is_leaving;
                    });
  return static_cast<std::size_t>(others) >= present;
}

auto ProposeRepair(system_tables& tables,
                   program_copy& copy,
                   const std::set<vm_ref>& suspects) -> void {
  StartReconfiguration(tables, copy, RepairedSet(tables, copy, suspects));
}

auto ProposeHandover(system_tables& tables, program_copy& copy) -> void {
  auto next = copy.replicas;
  ++next.epoch;
  next.owner = next.witness;
  next.witness = vm_ref{};
  StartReconfiguration(
      tables, copy,
      FillSet(tables, copy, next, tables.self, LostMembers(tables, copy)));
}

auto CheckReconfiguration(system_tables& tables, const program_id& program)
    -> void {
  const auto found = tables.reconfigurations.find(program);
  if (found == tables.reconfigurations.end()) {
    return;
  }
  auto& change = found->second;
  auto* copy = FindCopy(tables, program);
  if (copy == nullptr || copy->replicas.epoch != change.current.epoch) {
    tables.reconfigurations.erase(found);
    return;
  }
  if (tables.now >= change.next_ballot) {
    const auto is_repair = change.proposed.owner == tables.self ||
                           !IsLive(tables, change.proposed.owner);
    if (is_repair) {
      change.proposed = RepairedSet(tables, *copy, LostMembers(tables, *copy));
    }
    StartBallot(tables, program, change, change.number.round);
  } else if (tables.now >= change.next_resend) {
    change.next_resend = tables.now + tables.options.resend_interval;
    SendBallot(tables, program, change);
  }
  Arm(tables, std::min(change.next_resend, change.next_ballot),
      reconfiguration_timer{program});
}

auto OnPrepare(system_tables& tables, const vm_ref& from, const prepare& item)
    -> void {
  auto* vote = PromiseBallot(tables, from, item);
  if (vote == nullptr) {
    return;
  }
  const auto epoch = item.current.epoch;
  CloseEpoch(tables, item.program, epoch);
  Send(tables, from,
       promise{item.program, epoch, item.number, vote->accepted_number,
               vote->accepted});
}

auto OnPromise(system_tables& tables, const vm_ref& from, const promise& item)
    -> void {
  auto* change = FindReconfiguration(tables, item.program, item.epoch);
  const auto fits = change != nullptr && change->number == item.number &&
                    change->phase == ballot_phase::kPreparing &&
                    IsMember(change->current, from);
  if (!fits) {
    return;
  }
  if (item.accepted.epoch != 0 && item.accepted_number > change->value_number) {
    change->value = item.accepted;
    change->value_number = item.accepted_number;
  }
  change->agreed.insert(from);
  if (change->agreed.size() < MajorityOf(change->current)) {
    return;
  }
  change->phase = ballot_phase::kAccepting;
  change->agreed.clear();
  SendBallot(tables, item.program, *change);
}

auto OnAccept(system_tables& tables, const vm_ref& from, const accept& item)
    -> void {
  auto* vote = PromiseBallot(tables, from, item);
  if (vote == nullptr) {
    return;
  }
  const auto epoch = item.current.epoch;
  vote->accepted_number = item.number;
  vote->accepted = item.next;
  CloseEpoch(tables, item.program, epoch);
  Send(tables, from, accepted{item.program, epoch, item.number});
}

auto OnAccepted(system_tables& tables, const vm_ref& from, const accepted& item)
    -> void {
  auto* change = FindReconfiguration(tables, item.program, item.epoch);
  const auto fits = change != nullptr && change->number == item.number &&
                    change->phase == ballot_phase::kAccepting &&
                    IsMember(change->current, from);
  if (!fits) {
    return;
  }
  change->agreed.insert(from);
  if (change->agreed.size() < MajorityOf(change->current)) {
    return;
  }
  const auto decided = *change;
  tables.reconfigurations.erase(item.program);
  Decide(tables, item.program, decided);
}

auto OnBallotRefused(system_tables& tables, const ballot_refused& item)
    -> void {
  if (item.known.epoch > item.epoch) {
    LearnReplicaSet(tables, item.program, item.known);
    return;
  }
  auto* change = FindReconfiguration(tables, item.program, item.epoch);
  if (change != nullptr && item.promised > change->number) {
    change->highest_round =
        std::max(change->highest_round, item.promised.round);
  }
}

}  // namespace daisywind::program
