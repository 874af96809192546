// Catalogue of log events. docs/LOG-EVENTS.md lists the same events; a unit
// test compares the two.
#ifndef DAISYWIND_COMMON_LOG_EVENTS_H_
#define DAISYWIND_COMMON_LOG_EVENTS_H_

#include <compare>
#include <cstdint>
#include <span>
#include <string_view>

namespace daisywind {

// The subsystem that logs an event. Each has a logger of its own.
enum class log_subsystem : std::uint8_t {
  kCommon,
  kNet,
  kGateway,
  kProgram,
  kPolicy,
  kConfiguration,
  kMembership,
  kMigration,
  kStandin,
  kControl,
  kFront,
  kJournal,
  kPlatform,
};

// Severity; corresponds to the levels of log4cxx.
enum class log_level : std::uint8_t { kDebug, kInfo, kWarning, kError };

// One type of event: its fixed number, subsystem, severity and text.
struct log_event {
  std::uint16_t number = 0;
  log_subsystem subsystem = log_subsystem::kCommon;
  log_level level = log_level::kInfo;
  std::string_view text;

  auto operator<=>(const log_event&) const = default;
};

namespace log_events {

inline constexpr auto kProcessStarted = log_event{
    1001, log_subsystem::kCommon, log_level::kInfo, "process started"};
inline constexpr auto kProcessStopping = log_event{
    1002, log_subsystem::kCommon, log_level::kInfo, "process stopping"};
inline constexpr auto kProcessStopped = log_event{
    1003, log_subsystem::kCommon, log_level::kInfo, "process stopped"};
inline constexpr auto kInvariantBroken =
    log_event{1004, log_subsystem::kCommon, log_level::kError,
              "invariant violated, process aborted"};
inline constexpr auto kLogLinesDropped =
    log_event{1005, log_subsystem::kCommon, log_level::kWarning,
              "log lines dropped, log reader too slow"};
inline constexpr auto kEventLoopLate =
    log_event{1006, log_subsystem::kCommon, log_level::kWarning,
              "event loop late, input processed with a delay"};
inline constexpr auto kStartFailed =
    log_event{1007, log_subsystem::kCommon, log_level::kError,
              "start failed, trying again"};
inline constexpr auto kHandlerFailed =
    log_event{1008, log_subsystem::kCommon, log_level::kError,
              "exception in a handler, its exchange ended"};
inline constexpr auto kListenFailed =
    log_event{1101, log_subsystem::kNet, log_level::kError,
              "listening on address failed"};
inline constexpr auto kRequestRejected =
    log_event{1102, log_subsystem::kNet, log_level::kWarning,
              "request rejected before it was fully read"};
inline constexpr auto kFrameRejected =
    log_event{1103, log_subsystem::kNet, log_level::kWarning,
              "frame from a peer rejected, connection closed"};
inline constexpr auto kPeerConnected = log_event{
    1104, log_subsystem::kNet, log_level::kInfo, "peer link connected"};
inline constexpr auto kPeerDisconnected = log_event{
    1105, log_subsystem::kNet, log_level::kInfo, "peer link disconnected"};
inline constexpr auto kFrameNotSent =
    log_event{1106, log_subsystem::kNet, log_level::kWarning,
              "frame not sent, too large or the queue is full"};
inline constexpr auto kMessageTooLarge =
    log_event{1107, log_subsystem::kNet, log_level::kWarning,
              "message exceeds a memory limit, exchange ended"};
inline constexpr auto kFaultApplied =
    log_event{1801, log_subsystem::kStandin, log_level::kInfo,
              "fault applied to a request"};
inline constexpr auto kModelLoaded = log_event{
    1802, log_subsystem::kStandin, log_level::kInfo, "model or adapter loaded"};
inline constexpr auto kStaleOrderRefused =
    log_event{1803, log_subsystem::kStandin, log_level::kInfo,
              "order with an old fencing number refused"};

inline constexpr auto kVersionInstalled =
    log_event{1201, log_subsystem::kGateway, log_level::kInfo,
              "configuration version installed"};
inline constexpr auto kRoutingChanged =
    log_event{1202, log_subsystem::kGateway, log_level::kInfo,
              "routing of an endpoint changed"};
inline constexpr auto kMemberSuspected = log_event{
    1301, log_subsystem::kMembership, log_level::kWarning, "member suspected"};
inline constexpr auto kMemberDead = log_event{
    1302, log_subsystem::kMembership, log_level::kWarning, "member dead"};
inline constexpr auto kSelfSuperseded =
    log_event{1303, log_subsystem::kMembership, log_level::kError,
              "newer incarnation of this VM detected, process stopping"};

inline constexpr auto kStoreUnreachable =
    log_event{1901, log_subsystem::kFront, log_level::kWarning,
              "platform's store unreachable, last known state kept"};
inline constexpr auto kStoreReachableAgain =
    log_event{1902, log_subsystem::kFront, log_level::kInfo,
              "platform's store reachable again"};
inline constexpr auto kStoreResponseInvalid =
    log_event{1903, log_subsystem::kFront, log_level::kWarning,
              "invalid response from the platform's store"};
inline constexpr auto kEntryIgnored =
    log_event{1904, log_subsystem::kFront, log_level::kWarning,
              "invalid entry of the platform's store ignored"};
inline constexpr auto kSettingsReloaded =
    log_event{1905, log_subsystem::kFront, log_level::kInfo,
              "settings re-read and found valid"};
inline constexpr auto kSettingsRefused =
    log_event{1906, log_subsystem::kFront, log_level::kError,
              "invalid settings rejected, settings in force kept"};
inline constexpr auto kStoreWatchEnded = log_event{
    1907, log_subsystem::kPlatform, log_level::kInfo,
    "watch of the platform's store ended, re-read of all keys scheduled"};
inline constexpr auto kStoreCopyTaken =
    log_event{1908, log_subsystem::kFront, log_level::kInfo,
              "copy of the platform's store imported from a journal"};
inline constexpr auto kMirrorUnused =
    log_event{1909, log_subsystem::kFront, log_level::kInfo,
              "a journal's copy of the platform's store is missing or too old"};
inline constexpr auto kStoreItemsUnreadable =
    log_event{1910, log_subsystem::kPlatform, log_level::kWarning,
              "items without a readable key in a response of the store"};
inline constexpr auto kConfigurationInForce =
    log_event{2001, log_subsystem::kFront, log_level::kInfo,
              "configuration read, installed if newer"};
inline constexpr auto kEndpointChanged = log_event{
    2002, log_subsystem::kFront, log_level::kInfo, "endpoint changed"};
inline constexpr auto kEndpointFailureRecorded =
    log_event{2003, log_subsystem::kFront, log_level::kWarning,
              "endpoint failure recorded"};
inline constexpr auto kReadinessChanged = log_event{
    2004, log_subsystem::kFront, log_level::kInfo, "readiness changed"};
inline constexpr auto kViewInForce =
    log_event{2005, log_subsystem::kFront, log_level::kInfo,
              "journal view in use changed"};
inline constexpr auto kRateLimitChanged =
    log_event{2006, log_subsystem::kFront, log_level::kInfo,
              "request rate limit of an endpoint changed"};
inline constexpr auto kRateLimitNamed =
    log_event{2007, log_subsystem::kFront, log_level::kInfo,
              "response names a new request rate limit"};
inline constexpr auto kPathStateChanged =
    log_event{2008, log_subsystem::kFront, log_level::kWarning,
              "path to the endpoints changed"};
inline constexpr auto kEndpointLeaves =
    log_event{2009, log_subsystem::kFront, log_level::kInfo,
              "response says that its endpoint leaves"};
inline constexpr auto kRequestRefused =
    log_event{2101, log_subsystem::kFront, log_level::kInfo,
              "request refused without being executed"};
inline constexpr auto kAttemptEnded =
    log_event{2102, log_subsystem::kFront, log_level::kInfo,
              "attempt at an endpoint ended without a usable response"};
inline constexpr auto kRequestEnded =
    log_event{2103, log_subsystem::kFront, log_level::kInfo, "request ended"};
inline constexpr auto kTurnDecided = log_event{
    2104, log_subsystem::kFront, log_level::kInfo, "turn admission result"};
inline constexpr auto kTurnNotRecorded =
    log_event{2105, log_subsystem::kFront, log_level::kWarning,
              "turn record not confirmed by a write quorum of disks"};
inline constexpr auto kMismatchedResponse =
    log_event{2106, log_subsystem::kFront, log_level::kWarning,
              "response to another request skipped"};
inline constexpr auto kJournalQuorumLost =
    log_event{2107, log_subsystem::kFront, log_level::kWarning,
              "journal quorum lost, turns refused"};
inline constexpr auto kJournalQuorumRestored = log_event{
    2108, log_subsystem::kFront, log_level::kInfo, "journal quorum restored"};
inline constexpr auto kResponseTooLarge =
    log_event{2109, log_subsystem::kFront, log_level::kWarning,
              "response broken off, memory for held responses used up"};
inline constexpr auto kRelayedAttemptEnded =
    log_event{2110, log_subsystem::kFront, log_level::kInfo,
              "attempt on behalf of another front ended"};
inline constexpr auto kStreamResumed =
    log_event{2111, log_subsystem::kFront, log_level::kInfo,
              "stream broken off by its endpoint, continued at another"};
inline constexpr auto kQuotaRefused =
    log_event{2112, log_subsystem::kFront, log_level::kInfo,
              "request limit of the organisation allows no request now"};
inline constexpr auto kEngineMemoryRefused =
    log_event{2113, log_subsystem::kFront, log_level::kInfo,
              "no engine has memory for the request"};
inline constexpr auto kAdmissionRefused =
    log_event{2114, log_subsystem::kFront, log_level::kInfo,
              "request refused by admission control"};
inline constexpr auto kDiskLoaded =
    log_event{2201, log_subsystem::kJournal, log_level::kInfo,
              "records loaded from disk"};
inline constexpr auto kDiskWriteFailed = log_event{
    2202, log_subsystem::kJournal, log_level::kError, "disk write failed"};
inline constexpr auto kViewMembershipChanged =
    log_event{2203, log_subsystem::kJournal, log_level::kInfo,
              "change of journal view membership attempted"};
inline constexpr auto kCopyComplete =
    log_event{2204, log_subsystem::kJournal, log_level::kInfo,
              "replica complete for its view"};
inline constexpr auto kPullFailed =
    log_event{2205, log_subsystem::kJournal, log_level::kWarning,
              "data not readable from other journal members"};
inline constexpr auto kRetireProgress =
    log_event{2206, log_subsystem::kJournal, log_level::kInfo,
              "retirement status of this VM"};
inline constexpr auto kFactsExpired = log_event{
    2207, log_subsystem::kJournal, log_level::kInfo, "expired facts checked"};
inline constexpr auto kViewAdopted = log_event{
    2208, log_subsystem::kJournal, log_level::kInfo, "journal view adopted"};
inline constexpr auto kFactsMayBeLost =
    log_event{2209, log_subsystem::kJournal, log_level::kError,
              "more disks lost than tolerated, facts may be lost"};
inline constexpr auto kDiskUnreadable =
    log_event{2211, log_subsystem::kJournal, log_level::kError,
              "records could not be read from disk"};
inline constexpr auto kMemoryFull =
    log_event{2210, log_subsystem::kJournal, log_level::kWarning,
              "turns refused or accepted again, by the memory for facts"};
inline constexpr auto kDiskIdentityCreated =
    log_event{2212, log_subsystem::kJournal, log_level::kWarning,
              "disk has a new identity"};

}  // namespace log_events

// Every event that the system can log, sorted by number.
auto LogCatalogue() -> std::span<const log_event>;

// Returns the name of a subsystem's logger, as written to the log.
auto LoggerName(log_subsystem subsystem) -> std::string_view;

// Returns the name of a severity, as written to the log and read from settings.
auto LevelName(log_level level) -> std::string_view;

}  // namespace daisywind

#endif  // DAISYWIND_COMMON_LOG_EVENTS_H_
