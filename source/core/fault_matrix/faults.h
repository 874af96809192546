// The steps of a call and the faults that can be injected at them.
#ifndef DAISYWIND_FAULT_MATRIX_FAULTS_H_
#define DAISYWIND_FAULT_MATRIX_FAULTS_H_

#include <array>
#include <compare>
#include <cstdint>
#include <string_view>
#include <vector>

namespace daisywind::fault_matrix {

enum class call_step : std::uint8_t {
  // A program is installed at its owner or witness, when it is opened or when
  // its replicas change.
  kOpen,
  // A call arrives at the entry VM.
  kArrival,
  // The entry VM forwards the call to the owner.
  kForward,
  // The owner sends the intent to the witness.
  kIntent,
  // The witness acknowledges the intent.
  kAcknowledgement,
  // The owner sends the attempt to the endpoint.
  kSend,
  // The endpoint starts to run the call.
  kRun,
  // Output of a chat call arrives from the engine.
  kOutput,
  // The complete answer arrives from the endpoint.
  kAnswer,
  // The owner sends the settlement to the witness.
  kSettle,
  // The witness acknowledges the settlement.
  kSettleAcknowledgement,
  // The owner sends the end of the call to the entry VM.
  kReply,
  // An engine is told to release the memory of the program.
  kRelease,
};
inline constexpr std::size_t kStepCount = 13;

enum class fault_kind : std::uint8_t {
  // The process that takes the step dies or pauses, before or after the step.
  kProcessDiesBefore,
  kProcessDiesAfter,
  kProcessPausesBefore,
  kProcessPausesAfter,
  // As kProcessPausesBefore, and the VM leaves the member list meanwhile.
  kPausesWithLeaseExpired,
  kOwnerDies,
  kWitnessDies,
  kArbiterDies,
  // The last VM that was chosen as entry VM dies.
  kEntryDies,
  kOwnerPauses,
  kWitnessPauses,
  kMessageLost,
  kMessageDelayed,
  kMessageDuplicated,
  // A short delay, so that later messages overtake this one.
  kMessageReordered,
  kOwnerWitnessPartitioned,
  // Partitions the owner from the receiver of the message of the step, or from
  // the last entry VM if the step sends no message.
  kOwnerEntryPartitioned,
  kOwnerIsolated,
  kWitnessIsolated,
  // The connection to the endpoint breaks before the answer has arrived.
  kAnswerLost,
  kEndpointCrashes,
  kConnectionRefused,
  // The endpoint refuses the call without running it.
  kEndpointRefuses,
  // Changes of the member list arrive only after an outage of the store.
  kKeyValueDown,
  // Changes of the member list arrive late from then on.
  kKeyValueSlow,
  // All VMs of the owner's failure domain die.
  kFailureDomainLost,
  kRegionsPartitioned,
  kRollingRestart,
  // The owner shuts down gracefully.
  kGracefulStop,
  // All connections of the caller break.
  kCallerDisconnected,
};
inline constexpr std::size_t kFaultCount = 30;

// A fault to inject at one occurrence of a step. Occurrences count from 0.
struct planned_fault {
  call_step step = call_step::kArrival;
  fault_kind fault = fault_kind::kMessageLost;
  std::uint32_t occurrence = 0;

  auto operator<=>(const planned_fault&) const = default;
};

// True when the fault can be injected at the step.
auto IsApplicable(call_step step, fault_kind fault) -> bool;

// The names on the command line and in the printed results.
auto NameOf(call_step step) -> std::string_view;
auto NameOf(fault_kind fault) -> std::string_view;

// All steps and all faults, in the order of their enumerations.
auto AllSteps() -> std::vector<call_step>;
auto AllFaults() -> std::vector<fault_kind>;

}  // namespace daisywind::fault_matrix

#endif  // DAISYWIND_FAULT_MATRIX_FAULTS_H_
