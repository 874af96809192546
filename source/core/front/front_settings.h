// Settings of daisywind-front.
#ifndef DAISYWIND_FRONT_FRONT_SETTINGS_H_
#define DAISYWIND_FRONT_FRONT_SETTINGS_H_

#include <cstdint>

#include "common/settings.h"
#include "common/vm_settings.h"

namespace daisywind::front {

using namespace vm_settings;  // NOLINT(google-global-names-in-headers)

inline constexpr auto kFailureDomains = list_setting{
    "failure_domains", "", "all failure domains, each as DOMAIN=REGION"};
inline constexpr auto kCallerAddress = string_setting{
    "listen.callers", "", "address for callers, as ip:port", 0, 0, true};
inline constexpr auto kReadyAddress = string_setting{
    "listen.ready", "", "address for readiness, as ip:port", 0, 0, true};
inline constexpr auto kRelayAddress = string_setting{
    "listen.relay", "",
    "address for attempts of fronts that reach no endpoint, as ip:port"};
inline constexpr auto kJournalSeeds = list_setting{
    "journals.seeds", "",
    "addresses of some journals, each as ip:port, for when the store is away"};
inline constexpr auto kContracts = list_setting{
    "deployment.contracts", "",
    "names of the agreements on how the deployment's engines behave"};
inline constexpr auto kMaxConnections = integer_setting{
    "limits.connections", 3000, "open connections of callers", 1, 100'000};
inline constexpr auto kResponseMemoryMb = integer_setting{
    "limits.response_mb", 32,
    "memory for parts of responses that are held until their end, in MB", 1,
    65'536};
inline constexpr auto kGraceSeconds =
    number_setting{"stop.grace_s", 8.0,
                   "time after SIGTERM until the process is killed", 0, 600};
// The load balancer probes readiness once a second and stops sending callers
// after two failed probes.
inline constexpr auto kLeaveMs = integer_setting{
    "stop.leave_ms", 2'300,
    "time after SIGTERM during which new connections are served", 0, 600'000};

// Schema of all settings of the front.
auto FrontSchema() -> settings_schema;

}  // namespace daisywind::front

#endif  // DAISYWIND_FRONT_FRONT_SETTINGS_H_
