// The settings of daisywind-front.
#ifndef DAISYWIND_FRONT_FRONT_SETTINGS_H_
#define DAISYWIND_FRONT_FRONT_SETTINGS_H_

#include <cstdint>

#include "common/settings.h"

namespace daisywind::front {

inline constexpr auto kVm =
    string_setting{"vm", "", "name of this VM", 0, 0, true};
inline constexpr auto kFailureDomain = string_setting{
    "failure_domain", "", "failure domain of this VM", 0, 0, true};
inline constexpr auto kRegion =
    string_setting{"region", "", "region of this VM", 0, 0, true};
inline constexpr auto kFailureDomains = list_setting{
    "failure_domains", "", "all failure domains, each as DOMAIN=REGION"};
inline constexpr auto kCallerAddress = string_setting{
    "listen.callers", "", "address for callers, as ip:port", 0, 0, true};
inline constexpr auto kReadyAddress = string_setting{
    "listen.ready", "", "address for readiness, as ip:port", 0, 0, true};
inline constexpr auto kMetricsAddress = string_setting{
    "listen.metrics", "", "address for metrics, as ip:port; empty for none"};
inline constexpr auto kStoreAddress = string_setting{
    "store.address", "", "the platform's store, as ip:port", 0, 0, true};
inline constexpr auto kJournalSeeds = list_setting{
    "journals.seeds", "",
    "addresses of some journals, each as ip:port, for when the store is away"};
inline constexpr auto kToleratedLosses = integer_setting{
    "tolerate.disks", 1, "disks that may be lost at once", 0, 5};
inline constexpr auto kMaxConnections = integer_setting{
    "limits.connections", 3000, "open connections of callers", 1, 100'000};
inline constexpr auto kGraceMs = integer_setting{
    "stop.grace_ms", 8'000, "time after SIGTERM until the process is killed",
    100, 600'000};
// The balancer stops sending callers after two questions, one a second.
inline constexpr auto kLeaveMs = integer_setting{
    "stop.leave_ms", 2'300,
    "time after SIGTERM during which new connections are served", 0, 600'000};
inline constexpr auto kLogLevel = string_setting{
    "log.level", "info", "least severity: debug, info, warning or error"};

// All settings of the front.
auto FrontSchema() -> settings_schema;

}  // namespace daisywind::front

#endif  // DAISYWIND_FRONT_FRONT_SETTINGS_H_
