// Brings endpoints to their wanted state. No plan is stored: each decision is
// made anew from the wanted state and the last observations.
#ifndef DAISYWIND_MIGRATION_MIGRATION_SYSTEM_H_
#define DAISYWIND_MIGRATION_MIGRATION_SYSTEM_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/time.h"
#include "migration/endpoint_table.h"
#include "migration/events.h"
#include "migration/migration_options.h"
#include "migration/progress.h"
#include "migration/reconciler_lease.h"
#include "migration/wanted_state.h"

namespace daisywind::migration {

// The migration logic of one entry VM. On every VM it decides which endpoints
// receive new work. On the VM that holds the lease it also sends orders.
class migration_system {
 public:
  explicit migration_system(migration_options options);

  // Processes one event and returns the commands to execute.
  auto Handle(const event& input, instant now) -> std::vector<command>;

  // Performs the work that is due and returns the commands to execute. Should
  // be called every 100 ms.
  auto Tick(instant now) -> std::vector<command>;

  // The progress of the migration as shown to operators.
  [[nodiscard]] auto Progress(instant now) const -> migration_progress;

 private:
  // How often an endpoint's state is read: in transition; waiting, retained or
  // serving a migrating name; or settled.
  enum class read_rate : std::uint8_t { kActive, kWaiting, kSettled };

  auto On(const wanted_changed& input, instant now) -> void;
  auto On(const engine_state& input, instant now) -> void;
  auto On(const endpoint_unreachable& input, instant now) -> void;
  auto On(const endpoint_refused& input, instant now) -> void;
  auto On(const order_result& input, instant now) -> void;
  auto On(const vm_list& input, instant now) -> void;
  auto On(const members& input, instant now) -> void;
  auto On(const lease_granted& input, instant now) -> void;
  auto On(const lease_held_by_other& input, instant now) -> void;
  auto On(const lease_lost& input, instant now) -> void;
  auto On(const lease_outcome_unknown& input, instant now) -> void;
  auto On(const stopping& input, instant now) -> void;

  auto UpdateRouting(instant now) -> void;
  auto UpdateMigratingNames(instant now) -> void;
  auto ReadStates(instant now) -> void;
  auto ReadState(endpoint_row& row, instant now) -> bool;
  auto ReleaseSessions(instant now) -> void;
  auto SendOrders(instant now) -> void;
  auto RemoveObsoleteEndpoints(instant now) -> void;
  auto FindEndpoint(const endpoint_id& id) -> endpoint_row*;
  [[nodiscard]] auto ReadRateFor(const endpoint_row& row, instant now) const
      -> read_rate;
  // Interval between report requests to an endpoint. On VMs without the lease
  // it grows with the number of live VMs.
  [[nodiscard]] auto ReadInterval(const endpoint_row& row, instant now) const
      -> duration;
  auto TakeCommands() -> std::vector<command>;

  migration_options options_;
  wanted_state wanted_;
  instant accepted_at_{};
  endpoint_table endpoints_;
  reconciler_lease lease_;
  std::size_t live_vms_ = 1;
  // Names that leaving endpoints still serve.
  std::set<std::string> migrating_names_;
  std::map<read_rate, std::size_t> read_rate_counts_;
  bool has_changed_ = false;
  instant next_decision_{};
  // The endpoint whose report was requested last. The next tick continues after
  // it.
  endpoint_id read_cursor_;
  std::vector<command> commands_;
};

}  // namespace daisywind::migration

#endif  // DAISYWIND_MIGRATION_MIGRATION_SYSTEM_H_
