#include "fault_matrix/faults.h"

namespace daisywind::fault_matrix {
namespace {

constexpr auto kStepNames = std::to_array<std::string_view>(
    {"open", "arrival", "forward", "intent", "ack", "send", "run", "output",
     "answer", "settle", "settle_ack", "reply", "release"});
static_assert(kStepNames.size() == kStepCount);

constexpr auto kFaultNames =
    std::to_array<std::string_view>({"process_dies_before",
                                     "process_dies_after",
                                     "process_pauses_before",
                                     "process_pauses_after",
                                     "pauses_lease_lapsed",
                                     "owner_dies",
                                     "witness_dies",
                                     "arbiter_dies",
                                     "entry_dies",
                                     "owner_pauses",
                                     "witness_pauses",
                                     "message_lost",
                                     "message_delayed",
                                     "message_duplicated",
                                     "message_reordered",
                                     "owner_witness_parted",
                                     "owner_entry_parted",
                                     "owner_isolated",
                                     "witness_isolated",
                                     "answer_lost",
                                     "endpoint_crashes",
                                     "connection_refused",
                                     "endpoint_refuses",
                                     "kv_down",
                                     "kv_slow",
                                     "domain_gone",
                                     "regions_parted",
                                     "rolling_restart",
                                     "graceful_stop",
                                     "caller_gone"});
static_assert(kFaultNames.size() == kFaultCount);

auto IsMessageStep(call_step step) -> bool {
  switch (step) {
    case call_step::kOpen:
    case call_step::kForward:
    case call_step::kIntent:
    case call_step::kAcknowledgement:
    case call_step::kSettle:
    case call_step::kSettleAcknowledgement:
    case call_step::kReply:
      return true;
    default:
      return false;
  }
}

}  // namespace

auto IsApplicable(call_step step, fault_kind fault) -> bool {
  switch (fault) {
    case fault_kind::kMessageLost:
    case fault_kind::kMessageDelayed:
    case fault_kind::kMessageDuplicated:
    case fault_kind::kMessageReordered:
      return IsMessageStep(step) || step == call_step::kRelease;
    case fault_kind::kConnectionRefused:
    case fault_kind::kEndpointRefuses:
      return step == call_step::kSend;
    case fault_kind::kAnswerLost:
      return step == call_step::kAnswer || step == call_step::kRun ||
             step == call_step::kOutput;
    case fault_kind::kEndpointCrashes:
      return step == call_step::kSend || step == call_step::kRun ||
             step == call_step::kOutput || step == call_step::kAnswer ||
             step == call_step::kRelease;
    case fault_kind::kProcessDiesBefore:
    case fault_kind::kProcessDiesAfter:
    case fault_kind::kProcessPausesBefore:
    case fault_kind::kProcessPausesAfter:
    case fault_kind::kPausesWithLeaseExpired:
      return step != call_step::kRun;
    default:
      return true;
  }
}

auto NameOf(call_step step) -> std::string_view {
  return kStepNames.at(static_cast<std::size_t>(step));
}

auto NameOf(fault_kind fault) -> std::string_view {
  return kFaultNames.at(static_cast<std::size_t>(fault));
}

auto AllSteps() -> std::vector<call_step> {
  auto steps = std::vector<call_step>{};
  for (auto i = std::size_t{0}; i < kStepCount; ++i) {
    steps.push_back(static_cast<call_step>(i));
  }
  return steps;
}

auto AllFaults() -> std::vector<fault_kind> {
  auto faults = std::vector<fault_kind>{};
  for (auto i = std::size_t{0}; i < kFaultCount; ++i) {
    faults.push_back(static_cast<fault_kind>(i));
  }
  return faults;
}

}  // namespace daisywind::fault_matrix
