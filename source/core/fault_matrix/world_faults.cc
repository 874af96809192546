// The faults that strike at the steps of a call.
#include <algorithm>
#include <utility>

#include "fault_matrix/world.h"

namespace daisywind::fault_matrix {
namespace {

constexpr auto kMembersFrozen = duration{20s};
constexpr auto kMembersSlow = duration{5s};

}  // namespace

auto world::Strike(call_step step, const step_context& context) -> step_effect {
  auto effect = step_effect{};
  const auto index = occurrences_.at(static_cast<std::size_t>(step))++;
  for (const auto& planned : faults_) {
    if (planned.step == step && planned.occurrence == index) {
      ++struck_;
      StrikeOne(planned.fault, context, effect);
    }
  }
  return effect;
}

auto world::StrikeOne(fault_kind fault,
                      const step_context& context,
                      step_effect& effect) -> void {
  static constexpr auto kLongDelay = duration{3s};
  static constexpr auto kReorderDelay = duration{40ms};
  switch (fault) {
    case fault_kind::kProcessDiesBefore:
      KillProcess(context.actor);
      effect.is_dropped = true;
      return;
    case fault_kind::kProcessDiesAfter:
      effect.dies_after = true;
      return;
    case fault_kind::kPausesWithLeaseLapsed:
      ListLater(context.actor, false);
      Schedule(kPauseTime, [this, vm = context.actor] { ListLater(vm, true); });
      effect.pauses_before = true;
      return;
    case fault_kind::kProcessPausesBefore:
      effect.pauses_before = true;
      return;
    case fault_kind::kProcessPausesAfter:
      effect.pauses_after = true;
      return;
    case fault_kind::kMessageLost:
      effect.is_dropped = true;
      return;
    case fault_kind::kMessageDelayed:
      effect.delay = kLongDelay;
      return;
    case fault_kind::kMessageReordered:
      effect.delay = kReorderDelay;
      return;
    case fault_kind::kMessageDuplicated:
      effect.is_repeated = true;
      return;
    case fault_kind::kConnectionRefused:
      effect.forced_result = program::attempt_result::kNotSent;
      return;
    case fault_kind::kEndpointRefuses:
      effect.forced_result = program::attempt_result::kRefusedNotRun;
      return;
    case fault_kind::kAnswerLost:
      effect.is_lost_answer = true;
      return;
    case fault_kind::kEndpointCrashes:
      CrashEndpoint(context.endpoint);
      return;
    case fault_kind::kKeyValueDown:
      members_frozen_until_ = now_ + kMembersFrozen;
      return;
    case fault_kind::kKeyValueSlow:
      members_delay_ = kMembersSlow;
      return;
    case fault_kind::kRegionsParted:
      PartRegions();
      return;
    case fault_kind::kRollingRestart:
      RestartAll();
      return;
    case fault_kind::kCallerGone:
      Schedule(duration{}, hangups_);
      return;
    default:
      StrikeRole(fault, context);
  }
}

auto world::StrikeRole(fault_kind fault, const step_context& context) -> void {
  const auto set = CurrentSet();
  const auto owner = FindVm(set.owner);
  const auto witness = FindVm(set.witness);
  const auto arbiter = FindVm(set.arbiter);
  if (!owner || !witness || !arbiter) {
    return;
  }
  // Striking inside a command of the process itself would end it in the middle
  // of its event; the step's own faults do that.
  const auto soon = [this](std::function<void()> action) {
    Schedule(duration{}, std::move(action));
  };
  switch (fault) {
    case fault_kind::kOwnerDies:
      return soon([this, vm = *owner] { KillProcess(vm); });
    case fault_kind::kWitnessDies:
      return soon([this, vm = *witness] { KillProcess(vm); });
    case fault_kind::kArbiterDies:
      return soon([this, vm = *arbiter] { KillProcess(vm); });
    case fault_kind::kEntryDies:
      return soon([this, vm = next_entry_] { KillProcess(vm); });
    case fault_kind::kOwnerPauses:
      return soon([this, vm = *owner] { PauseProcess(vm); });
    case fault_kind::kWitnessPauses:
      return soon([this, vm = *witness] { PauseProcess(vm); });
    case fault_kind::kOwnerWitnessParted:
      return Part({{*owner, *witness}});
    case fault_kind::kOwnerEntryParted:
      return Part({{*owner, context.peer.value_or(next_entry_)}});
    case fault_kind::kOwnerIsolated:
      return Isolate(*owner);
    case fault_kind::kWitnessIsolated:
      return Isolate(*witness);
    case fault_kind::kDomainGone:
      for (auto i = vm_index{0}; i < kVmCount; ++i) {
        if (vms_[i].place.failure_domain == vms_[*owner].place.failure_domain) {
          soon([this, i] { KillProcess(i); });
        }
      }
      return;
    case fault_kind::kGracefulStop:
      return soon([this, vm = *owner] { StopGracefully(vm); });
    default:
      return;
  }
}

}  // namespace daisywind::fault_matrix
