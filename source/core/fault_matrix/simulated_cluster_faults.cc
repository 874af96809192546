// Fault injection at the steps of a call.
#include <algorithm>
#include <utility>

#include "fault_matrix/simulated_cluster.h"

namespace daisywind::fault_matrix {
namespace {

// How long no change of the member list arrives while the key-value store is
// down.
constexpr auto kMembersFrozen = duration{20s};
// Delay of changes of the member list while the key-value store is slow.
constexpr auto kMembersSlow = duration{5s};

}  // namespace

auto simulated_cluster::InjectFaults(call_step step,
                                     const step_context& context)
    -> step_effect {
  auto effect = step_effect{};
  const auto index = occurrences_.at(static_cast<std::size_t>(step))++;
  for (const auto& planned : faults_) {
    if (planned.step == step && planned.occurrence == index) {
      ++injected_;
      InjectFault(planned.fault, context, effect);
    }
  }
  return effect;
}

auto simulated_cluster::InjectFault(fault_kind fault,
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
    case fault_kind::kPausesWithLeaseExpired:
      UpdateListingLater(context.actor, false);
      Schedule(kPauseTime,
               [this, vm = context.actor] { UpdateListingLater(vm, true); });
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
      effect.is_duplicated = true;
      return;
    case fault_kind::kConnectionRefused:
      effect.forced_result = program::attempt_result::kNotSent;
      return;
    case fault_kind::kEndpointRefuses:
      effect.forced_result = program::attempt_result::kRefusedNotRun;
      return;
    case fault_kind::kAnswerLost:
      effect.is_answer_lost = true;
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
    case fault_kind::kRegionsPartitioned:
      PartitionRegions();
      return;
    case fault_kind::kRollingRestart:
      RestartAll();
      return;
    case fault_kind::kCallerDisconnected:
      Schedule(duration{}, on_disconnect_);
      return;
    default:
      InjectRoleFault(fault, context);
  }
}

auto simulated_cluster::InjectRoleFault(fault_kind fault,
                                        const step_context& context) -> void {
  const auto replicas = CurrentReplicas();
  const auto owner = FindVm(replicas.owner);
  const auto witness = FindVm(replicas.witness);
  const auto arbiter = FindVm(replicas.arbiter);
  if (!owner || !witness || !arbiter) {
    return;
  }
  // If the fault were injected directly and hit the process that takes the
  // step, it would interrupt the event that this process is handling. Only
  // faults of the step itself do that.
  const auto schedule_now = [this](std::function<void()> action) {
    Schedule(duration{}, std::move(action));
  };
  switch (fault) {
    case fault_kind::kOwnerDies:
      return schedule_now([this, vm = *owner] { KillProcess(vm); });
    case fault_kind::kWitnessDies:
      return schedule_now([this, vm = *witness] { KillProcess(vm); });
    case fault_kind::kArbiterDies:
      return schedule_now([this, vm = *arbiter] { KillProcess(vm); });
    case fault_kind::kEntryDies:
      return schedule_now([this, vm = next_entry_] { KillProcess(vm); });
    case fault_kind::kOwnerPauses:
      return schedule_now([this, vm = *owner] { PauseProcess(vm); });
    case fault_kind::kWitnessPauses:
      return schedule_now([this, vm = *witness] { PauseProcess(vm); });
    case fault_kind::kOwnerWitnessPartitioned:
      return PartitionLinks({{*owner, *witness}});
    case fault_kind::kOwnerEntryPartitioned:
      return PartitionLinks({{*owner, context.peer.value_or(next_entry_)}});
    case fault_kind::kOwnerIsolated:
      return Isolate(*owner);
    case fault_kind::kWitnessIsolated:
      return Isolate(*witness);
    case fault_kind::kFailureDomainLost:
      for (auto i = vm_index{0}; i < kVmCount; ++i) {
        if (vms_[i].member_info.failure_domain ==
            vms_[*owner].member_info.failure_domain) {
          schedule_now([this, i] { KillProcess(i); });
        }
      }
      return;
    case fault_kind::kGracefulStop:
      return schedule_now([this, vm = *owner] { StopGracefully(vm); });
    default:
      return;
  }
}

}  // namespace daisywind::fault_matrix
