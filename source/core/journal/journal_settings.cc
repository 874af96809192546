#include "journal/journal_settings.h"

namespace daisywind::journal {

auto JournalSchema() -> settings_schema {
  return {Declare(kVm),
          Declare(kFailureDomain),
          Declare(kRegion),
          Declare(kListenAddress),
          Declare(kAdvertisedAddress),
          Declare(kSeedAddress),
          Declare(kMetricsAddress),
          Declare(kStoreAddress),
          Declare(kInForceMs),
          Declare(kDrainedMs),
          Declare(kDataFolder),
          Declare(kToleratedDiskLosses),
          Declare(kRetentionMs),
          Declare(kMemoryLimitMb),
          Declare(kKeysWithdrawnMs),
          Declare(kLogLevel)};
}

}  // namespace daisywind::journal
