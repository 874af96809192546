// The settings of daisywind-gateway.
#ifndef DAISYWIND_GATEWAY_GATEWAY_SETTINGS_H_
#define DAISYWIND_GATEWAY_GATEWAY_SETTINGS_H_

#include <cstdint>

#include "common/settings.h"
#include "common/vm_settings.h"

namespace daisywind::gateway {

inline constexpr std::int64_t kMaxDurationMs = 86'400'000;

inline constexpr auto kVm =
    string_setting{"vm", "", "name of this VM", 0, 0, true};
inline constexpr auto kFailureDomain = string_setting{
    "failure_domain", "", "failure domain of this VM", 0, 0, true};
inline constexpr auto kRegion =
    string_setting{"region", "", "region of this VM", 0, 0, true};
inline constexpr auto kCallerAddress = string_setting{
    "listen.callers", "127.0.0.1:8080", "address for callers, as ip:port"};
inline constexpr auto kAdminAddress = string_setting{
    "listen.admin", "127.0.0.1:8081", "address for operators, as ip:port"};
inline constexpr auto kPeerAddress = string_setting{
    "listen.peers", "127.0.0.1:7070", "address for peers, as ip:port"};
inline constexpr auto kPeerSeeds =
    list_setting{"peers.seeds", "", "addresses of some peers, as ip:port"};
inline constexpr auto kKeyValueAddresses =
    list_setting{"key_value.addresses",
                 "",
                 "addresses of the key-value service, as ip:port",
                 0,
                 0,
                 true};
inline constexpr auto kVmListAddress = string_setting{
    "vm_list.address", "", "address of the platform's list of VMs"};
inline constexpr auto kOperatorKeyDigest =
    string_setting{"operator.key_digest",
                   "",
                   "SHA-256 of the operators' key, 64 hexadecimal digits",
                   0,
                   0,
                   true};
inline constexpr auto kMaxConnections = integer_setting{
    "limits.connections", 4096, "open connections of callers", 1, 100'000};
inline constexpr auto kMaxBodyBytes = integer_setting{
    "limits.body_bytes", std::int64_t{8} * 1024 * 1024,
    "size of a request body", 1024, std::int64_t{64} * 1024 * 1024};
using vm_settings::kMemoryLimitMb;
inline constexpr auto kReadTimeoutMs =
    integer_setting{"limits.read_timeout_ms", 15'000,
                    "time to read one request", 10, kMaxDurationMs};
inline constexpr auto kCallTimeoutMs =
    integer_setting{"limits.call_timeout_ms", 120'000,
                    "time of one call to an endpoint", 100, kMaxDurationMs};
inline constexpr auto kTokenIdleTimeoutMs =
    integer_setting{"limits.token_idle_timeout_ms", 10'000,
                    "time between two parts of an answer", 10, kMaxDurationMs};
inline constexpr auto kLoadPollMs = integer_setting{
    "poll.load_ms", 250, "time between two reads of an endpoint's load", 10,
    kMaxDurationMs};
inline constexpr auto kVmListPollMs = integer_setting{
    "poll.vm_list_ms", 1000, "time between two reads of the list of VMs", 10,
    kMaxDurationMs};
inline constexpr auto kDrainTimeoutMs =
    integer_setting{"drain.bound_ms", 30'000, "time a graceful stop may take",
                    100, kMaxDurationMs};
inline constexpr auto kLogFormat =
    string_setting{"log.format", "json", "layout of log lines: json or text"};
inline constexpr auto kLogLevel = string_setting{
    "log.level", "info", "least severity: debug, info, warning or error"};

// The declarations of all settings of the gateway.
auto GatewaySchema() -> settings_schema;

// Checks what the types of the settings do not cover: addresses, digests, names
// and enumerations. Fails with settings_error.
auto CheckValues(const settings& values) -> leaf::result<void>;

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_GATEWAY_SETTINGS_H_
