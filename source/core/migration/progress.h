// What an operator sees of a move.
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

// How far an endpoint is on its way to its wanted state.
enum class endpoint_phase : std::uint8_t {
  kUnknown,        // no fresh report
  kWaitingToLoad,  // queued for the weight store
  kLoading,
  kWarming,
  kServing,      // done
  kHeldForNeed,  // should leave, but serves until others replace it
  kDraining,     // running work ends
  kReleasing,    // memory of programs is still held
  kUnloading,
  kDrained,  // done, for the wanted role draining
  kEmpty,    // done, for the wanted role empty
};

// One endpoint's progress.
struct endpoint_progress {
  endpoint_id endpoint;
  failure_domain_id failure_domain;
  endpoint_role wanted = endpoint_role::kServing;
  endpoint_phase phase = endpoint_phase::kUnknown;
  bool is_done = false;
  bool is_vm_leaving = false;
  // What still holds it up, as text for the operator; empty when done.
  std::string held_up_by;
  std::uint64_t running = 0;
  std::uint64_t sessions = 0;
  // Age of the last report; negative when there has been none.
  duration report_age{-1};

  auto operator<=>(const endpoint_progress&) const = default;
};

// Count of the endpoints of a group that have reached their wanted state.
struct group_progress {
  std::uint32_t done = 0;
  std::uint32_t total = 0;

  auto operator<=>(const group_progress&) const = default;
};

// Progress of the whole move.
struct migration_progress {
  version_number version = 0;
  // Whether this VM gives the orders, and under which fencing number.
  bool is_reconciler = false;
  std::uint64_t fence = 0;
  duration elapsed{};
  duration deadline{};
  bool is_overdue = false;
  std::uint32_t percent = 0;
  // Every endpoint whose wanted role is empty has been proved empty by a fresh
  // report. False when no endpoint is wanted empty.
  bool is_evacuation_complete = false;
  std::vector<endpoint_progress> endpoints;
  std::map<std::string, group_progress> models;
  std::map<std::string, group_progress> adapters;
  std::map<failure_domain_id, group_progress> failure_domains;

  auto operator<=>(const migration_progress&) const = default;
};

// Builds the progress of a move, but for what concerns the lease.
auto BuildProgress(const endpoint_table& table,
                   const wanted_state& wanted,
                   instant accepted_at,
                   instant now,
                   const migration_options& options) -> migration_progress;

// How far an endpoint is.
auto PhaseOf(const endpoint_row& row,
             const wanted_state& wanted,
             instant now,
             const migration_options& options) -> endpoint_phase;

// Whether a fresh report proves that an endpoint has reached its wanted state.
auto IsDone(const endpoint_row& row,
            const wanted_state& wanted,
            instant now,
            const migration_options& options) -> bool;

// The name of a phase, as in GET /admin/v1/migration.
auto ToString(endpoint_phase phase) -> std::string_view;

}  // namespace daisywind::migration

#endif  // DAISYWIND_MIGRATION_PROGRESS_H_
