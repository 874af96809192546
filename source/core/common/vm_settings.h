// Settings common to all server programs on the users' platform.
#ifndef DAISYWIND_COMMON_VM_SETTINGS_H_
#define DAISYWIND_COMMON_VM_SETTINGS_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>

#include "common/settings.h"
#include "common/time.h"

namespace daisywind::vm_settings {

inline constexpr auto kVm =
    string_setting{"vm", "", "name of this VM", 0, 0, true};
inline constexpr auto kFailureDomain = string_setting{
    "failure_domain", "", "failure domain of this VM", 0, 0, true};
inline constexpr auto kRegion =
    string_setting{"region", "", "region of this VM", 0, 0, true};
inline constexpr auto kMetricsAddress = string_setting{
    "listen.metrics", "", "address for metrics, as ip:port; empty for none"};
inline constexpr auto kStoreAddress = string_setting{
    "store.address", "", "the platform's store, as ip:port", 0, 0, true};
inline constexpr auto kInForceMs = integer_setting{
    "changes.in_force_ms", 2'500,
    "time in which a configuration is to be in force", 100, 600'000};
inline constexpr auto kDrainedMs = integer_setting{
    "changes.drained_ms", 2'500,
    "time in which a leaving endpoint is to get no more requests", 100,
    600'000};
inline constexpr auto kToleratedDiskLosses = integer_setting{
    "tolerate.disks", 1, "disks that may be lost at once", 0, 5};
inline constexpr auto kMemoryLimitMb = integer_setting{
    "memory.limit_mb", 0,
    "memory at which the VM ends the process, in MB; 0 for none", 0, 1'048'576};
inline constexpr auto kKeysWithdrawnMs =
    integer_setting{"api_keys.withdrawn_ms", 0,
                    "time after which a withdrawn API key serves no request on "
                    "any VM, in touch "
                    "with the store or not; 0 for no such time",
                    0, 600'000};
inline constexpr auto kLogLevel = string_setting{
    "log.level", "info", "least severity: debug, info, warning or error"};

// Memory for messages of others that this process holds at the same time, in
// bytes: a quarter of its limit, because there are up to three copies of a
// message for a moment.
inline auto MessageMemory(const settings& values) -> std::size_t {
  constexpr auto kWithoutLimit = std::size_t{256} << 20U;
  const auto limit = static_cast<std::size_t>(values.Get(kMemoryLimitMb))
                     << 20U;
  return limit == 0 ? kWithoutLimit : limit / 4;
}

// Time within which a VM has to know each change of the platform's store.
inline auto ChangeTimeLimit(const settings& values) -> duration {
  return std::chrono::milliseconds(
      std::min(values.Get(kInForceMs), values.Get(kDrainedMs)));
}

// Time for which a VM may serve API keys without proof that they are still
// valid; nothing when there is no limit.
inline auto KeyProofLifetime(const settings& values)
    -> std::optional<duration> {
  const auto limit = values.Get(kKeysWithdrawnMs);
  return limit == 0 ? std::nullopt
                    : std::optional<duration>(std::chrono::milliseconds(limit));
}

}  // namespace daisywind::vm_settings

#endif  // DAISYWIND_COMMON_VM_SETTINGS_H_
