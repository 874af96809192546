// Progress of a migration as shown to operators.
#ifndef DAISYWIND_MIGRATION_PROGRESS_H_
#define DAISYWIND_MIGRATION_PROGRESS_H_

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "common/ids.h"
#include "common/time.h"
#include "migration/endpoint_table.h"
#include "migration/migration_options.h"
#include "migration/wanted_state.h"

namespace daisywind::migration {

// Progress of an endpoint towards its wanted state.
enum class endpoint_phase : std::uint8_t {
  kUnknown,        // no fresh report
  kWaitingToLoad,  // queued for the weight store
  kLoading,
  kWarming,
  kServing,    // done
  kRetained,   // is to leave, but serves until replaced
  kDraining,   // waits for running requests
  kReleasing,  // programs still hold memory
  kUnloading,
  kDrained,  // done when the wanted role is draining
  kEmpty,    // done when the wanted role is empty
};

struct endpoint_progress {
  endpoint_id endpoint;
  failure_domain_id failure_domain;
  endpoint_role wanted = endpoint_role::kServing;
  endpoint_phase phase = endpoint_phase::kUnknown;
  bool is_done = false;
  bool is_vm_leaving = false;
  // Why the endpoint is not done, as text for operators; empty when it is.
  std::string held_up_by;
  std::uint64_t running = 0;
  std::uint64_t sessions = 0;
  // Age of the last report; negative when there has been none.
  duration report_age{-1};

  auto operator<=>(const endpoint_progress&) const = default;
};

// How many endpoints of a group have reached their wanted state.
struct group_progress {
  std::uint32_t done = 0;
  std::uint32_t total = 0;

  auto operator<=>(const group_progress&) const = default;
};

// Progress of the whole migration.
struct migration_progress {
  version_number version = 0;
  // Whether this VM sends the orders, and the fencing number of its lease.
  bool is_reconciler = false;
  std::uint64_t fence = 0;
  duration elapsed{};
  duration deadline{};
  bool is_overdue = false;
  std::uint32_t percent = 0;
  // Whether recent reports show every endpoint empty whose wanted role is
  // empty. False when there is no such endpoint. Shown to operators as
  // `is_old_building_empty`.
  bool is_evacuation_complete = false;
  std::vector<endpoint_progress> endpoints;
  std::map<std::string, group_progress> models;
  std::map<std::string, group_progress> adapters;
  std::map<failure_domain_id, group_progress> failure_domains;

  auto operator<=>(const migration_progress&) const = default;
};

// Builds the progress of a migration, except `is_reconciler` and `fence`, which
// depend on the lease.
auto BuildProgress(const endpoint_table& table,
                   const wanted_state& wanted,
                   instant accepted_at,
                   instant now,
                   const migration_options& options) -> migration_progress;

// The phase of an endpoint; kUnknown without a recent report from after its
// role was wanted.
auto PhaseOf(const endpoint_row& row,
             const wanted_state& wanted,
             instant now,
             const migration_options& options) -> endpoint_phase;

// Whether a recent report shows the endpoint in its wanted state.
auto IsDone(const endpoint_row& row,
            const wanted_state& wanted,
            instant now,
            const migration_options& options) -> bool;

// The name of a phase, as in GET /admin/v1/migration, which shows kRetained as
// "held for need".
auto ToString(endpoint_phase phase) -> std::string_view;

}  // namespace daisywind::migration

#endif  // DAISYWIND_MIGRATION_PROGRESS_H_
