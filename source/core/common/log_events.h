// The catalogue of log events. docs/LOG-EVENTS.md lists the same events.
#ifndef DAISYWIND_COMMON_LOG_EVENTS_H_
#define DAISYWIND_COMMON_LOG_EVENTS_H_

#include <compare>
#include <cstdint>
#include <span>
#include <string_view>

namespace daisywind {

// The part of the system that logs. Each has a logger of its own name.
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
};

// Severity, in the sense of log4cxx.
enum class log_level : std::uint8_t { kDebug, kInfo, kWarning, kError };

// One kind of event: its fixed number, origin, severity and text.
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
              "invariant broken, the process ends"};
inline constexpr auto kListenFailed = log_event{
    1101, log_subsystem::kNet, log_level::kError, "cannot listen on address"};
inline constexpr auto kRequestRejected =
    log_event{1102, log_subsystem::kNet, log_level::kWarning,
              "request rejected before it was read whole"};
inline constexpr auto kFrameRejected =
    log_event{1103, log_subsystem::kNet, log_level::kWarning,
              "frame from a peer rejected, its connection is closed"};
inline constexpr auto kPeerConnected = log_event{
    1104, log_subsystem::kNet, log_level::kInfo, "peer link connected"};
inline constexpr auto kPeerDisconnected =
    log_event{1105, log_subsystem::kNet, log_level::kInfo, "peer link lost"};
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
              "configuration version in force"};
inline constexpr auto kRoutingChanged =
    log_event{1202, log_subsystem::kGateway, log_level::kInfo,
              "routing of an endpoint changed"};
inline constexpr auto kMemberSuspected = log_event{
    1301, log_subsystem::kMembership, log_level::kWarning, "member suspected"};
inline constexpr auto kMemberDead = log_event{
    1302, log_subsystem::kMembership, log_level::kWarning, "member dead"};
inline constexpr auto kSelfSuperseded =
    log_event{1303, log_subsystem::kMembership, log_level::kError,
              "a newer run of this VM was heard, this process stops"};

}  // namespace log_events

// Every event that the system can log, by ascending number.
auto LogCatalogue() -> std::span<const log_event>;

// The name of a subsystem's logger.
auto LoggerName(log_subsystem subsystem) -> std::string_view;

// The name of a severity.
auto LevelName(log_level level) -> std::string_view;

}  // namespace daisywind

#endif  // DAISYWIND_COMMON_LOG_EVENTS_H_
