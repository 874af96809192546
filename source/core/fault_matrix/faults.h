// The steps of a call and the faults that strike at them.
#ifndef DAISYWIND_FAULT_MATRIX_FAULTS_H_
#define DAISYWIND_FAULT_MATRIX_FAULTS_H_

#include <array>
#include <compare>
#include <cstdint>
#include <string_view>
#include <vector>

namespace daisywind::fault_matrix {

enum class call_step : std::uint8_t {
  kOpen,
  kArrival,
  kForward,
  kIntent,
  kAcknowledgement,
  kSend,
  kRun,
  kOutput,
  kAnswer,
  kSettle,
  kSettleAcknowledgement,
  kReply,
  kRelease,
};
inline constexpr std::size_t kStepCount = 13;

enum class fault_kind : std::uint8_t {
  kProcessDiesBefore,
  kProcessDiesAfter,
  kProcessPausesBefore,
  kProcessPausesAfter,
  kPausesWithLeaseExpired,
  kOwnerDies,
  kWitnessDies,
  kArbiterDies,
  kEntryDies,
  kOwnerPauses,
  kWitnessPauses,
  kMessageLost,
  kMessageDelayed,
  kMessageDuplicated,
  kMessageReordered,
  kOwnerWitnessPartitioned,
  kOwnerEntryPartitioned,
  kOwnerIsolated,
  kWitnessIsolated,
  kAnswerLost,
  kEndpointCrashes,
  kConnectionRefused,
  kEndpointRefuses,
  kKeyValueDown,
  kKeyValueSlow,
  kFailureDomainLost,
  kRegionsPartitioned,
  kRollingRestart,
  kGracefulStop,
  kCallerDisconnected,
};
inline constexpr std::size_t kFaultCount = 30;

// A fault that strikes at the n-th occurrence of a step, from 0.
struct planned_fault {
  call_step step = call_step::kArrival;
  fault_kind fault = fault_kind::kMessageLost;
  std::uint32_t occurrence = 0;

  auto operator<=>(const planned_fault&) const = default;
};

// True when the fault can strike at the step.
auto IsApplicable(call_step step, fault_kind fault) -> bool;

auto NameOf(call_step step) -> std::string_view;
auto NameOf(fault_kind fault) -> std::string_view;

// All steps and all faults, in their order.
auto AllSteps() -> std::vector<call_step>;
auto AllFaults() -> std::vector<fault_kind>;

}  // namespace daisywind::fault_matrix

#endif  // DAISYWIND_FAULT_MATRIX_FAULTS_H_
