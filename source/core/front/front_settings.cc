#include "front/front_settings.h"

namespace daisywind::front {

auto FrontSchema() -> settings_schema {
  return {Declare(kVm),
          Declare(kFailureDomain),
          Declare(kRegion),
          DeclareList(kFailureDomains),
          Declare(kCallerAddress),
          Declare(kReadyAddress),
          Declare(kMetricsAddress),
          Declare(kRelayAddress),
          Declare(kStoreAddress),
          DeclareList(kJournalSeeds),
          Declare(kToleratedDiskLosses),
          Declare(kInForceMs),
          Declare(kDrainedMs),
          DeclareList(kContracts),
          Declare(kMaxConnections),
          Declare(kResponseMemoryMb),
          Declare(kMemoryLimitMb),
          Declare(kKeysWithdrawnMs),
          Declare(kGraceSeconds),
          Declare(kLeaveMs),
          Declare(kLogLevel)};
}

}  // namespace daisywind::front
