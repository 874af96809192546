#include "common/log_events.h"

#include <array>

namespace daisywind {
namespace {

using namespace log_events;

constexpr auto kCatalogue = std::to_array<log_event>({
    kProcessStarted,       kProcessStopping,       kProcessStopped,
    kInvariantBroken,      kLogLinesDropped,       kEventLoopLate,
    kStartFailed,          kHandlerFailed,         kListenFailed,
    kRequestRejected,      kFrameRejected,         kPeerConnected,
    kPeerDisconnected,     kFrameNotSent,          kMessageTooLarge,
    kVersionInstalled,     kRoutingChanged,        kMemberSuspected,
    kMemberDead,           kSelfSuperseded,        kFaultApplied,
    kModelLoaded,          kStaleOrderRefused,     kStoreUnreachable,
    kStoreReachableAgain,  kStoreResponseInvalid,  kEntryIgnored,
    kSettingsReloaded,     kSettingsRefused,       kStoreWatchEnded,
    kStoreCopyTaken,       kMirrorUnused,          kStoreItemsUnreadable,
    kConfigurationInForce, kEndpointChanged,       kEndpointFailureRecorded,
    kReadinessChanged,     kViewInForce,           kRateLimitChanged,
    kRateLimitNamed,       kPathStateChanged,      kEndpointLeaves,
    kRequestRefused,       kAttemptEnded,          kRequestEnded,
    kTurnDecided,          kTurnNotRecorded,       kMismatchedResponse,
    kJournalQuorumLost,    kJournalQuorumRestored, kResponseTooLarge,
    kRelayedAttemptEnded,  kStreamResumed,         kQuotaRefused,
    kEngineMemoryRefused,  kAdmissionRefused,      kDiskLoaded,
    kDiskWriteFailed,      kViewMembershipChanged, kCopyComplete,
    kPullFailed,           kRetireProgress,        kFactsExpired,
    kViewAdopted,          kFactsMayBeLost,        kMemoryFull,
    kDiskUnreadable,       kDiskIdentityCreated,
});

}  // namespace

auto LogCatalogue() -> std::span<const log_event> {
  return kCatalogue;
}

auto LoggerName(log_subsystem subsystem) -> std::string_view {
  switch (subsystem) {
    case log_subsystem::kCommon:
      return "common";
    case log_subsystem::kNet:
      return "net";
    case log_subsystem::kGateway:
      return "gateway";
    case log_subsystem::kProgram:
      return "program";
    case log_subsystem::kPolicy:
      return "policy";
    case log_subsystem::kConfiguration:
      return "configuration";
    case log_subsystem::kMembership:
      return "membership";
    case log_subsystem::kMigration:
      return "migration";
    case log_subsystem::kStandin:
      return "standin";
    case log_subsystem::kControl:
      return "control";
    case log_subsystem::kFront:
      return "front";
    case log_subsystem::kJournal:
      return "journal";
    case log_subsystem::kPlatform:
      return "platform";
  }
  return "unknown";
}

auto LevelName(log_level level) -> std::string_view {
  switch (level) {
    case log_level::kDebug:
      return "debug";
    case log_level::kInfo:
      return "info";
    case log_level::kWarning:
      return "warning";
    case log_level::kError:
      return "error";
  }
  return "unknown";
}

}  // namespace daisywind
