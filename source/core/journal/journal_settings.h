// The settings of daisywind-journal.
#ifndef DAISYWIND_JOURNAL_JOURNAL_SETTINGS_H_
#define DAISYWIND_JOURNAL_JOURNAL_SETTINGS_H_

#include <cstdint>

#include "common/settings.h"
#include "common/vm_settings.h"

namespace daisywind::journal {

using namespace vm_settings;  // NOLINT(google-global-names-in-headers)

inline constexpr auto kListenAddress = string_setting{
    "listen.journal", "", "address for requests, as ip:port", 0, 0, true};
inline constexpr auto kAdvertisedAddress = string_setting{
    "listen.advertised", "",
    "address told to other VMs, as ip:port; empty for listen.journal"};
inline constexpr auto kSeedAddress = string_setting{
    "listen.seed", "",
    "address that other VMs know from their settings, as ip:port; empty for "
    "none"};
inline constexpr auto kDataFolder = string_setting{
    "data.folder", "", "folder for records on this VM's disk", 0, 0, true};
// Fronts of earlier versions name no retention. Well above the longest one of a
// route, so that a step of the wall clock does not expire facts early.
inline constexpr auto kRetentionMs =
    integer_setting{"data.retention_ms", 150'000,
                    "time that facts are kept whose sender names no retention",
                    1'000, 86'400'000};
// All settings of the journal.
auto JournalSchema() -> settings_schema;

}  // namespace daisywind::journal

#endif  // DAISYWIND_JOURNAL_JOURNAL_SETTINGS_H_
