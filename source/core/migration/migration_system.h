// Moves endpoints to their wanted state. Nothing is remembered of a plan: each
// tick decides anew from what is wanted and what was last observed.
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

// The part of one entry VM in a move. It decides the routing of new work on
// every VM, and gives orders on the one that holds the lease.
class migration_system {
 public:
  explicit migration_system(migration_options options);

  // Takes one event.
  auto Handle(const event& input, instant now) -> std::vector<command>;

  // Does the work that is due. Ticks should come every 100 ms.
  auto Tick(instant now) -> std::vector<command>;

  // What an operator sees.
  [[nodiscard]] auto Progress(instant now) const -> migration_progress;

 private:
  // How closely an endpoint is watched: on its way, waiting or standing in for
  // others, or settled.
  enum class attention : std::uint8_t { kActive, kWaiting, kSettled };

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
  auto UpdateNamesOnTheMove(instant now) -> void;
  auto ReadStates(instant now) -> void;
  auto ReadState(endpoint_row& row, instant now) -> bool;
  auto ReleaseSessions(instant now) -> void;
  auto SendOrders(instant now) -> void;
  auto ForgetEndpoints(instant now) -> void;
  auto FindEndpoint(const endpoint_id& id) -> endpoint_row*;
  // How closely an endpoint is watched.
  [[nodiscard]] auto AttentionFor(const endpoint_row& row, instant now) const
      -> attention;
  // Interval of reports from an endpoint. VMs without the lease read so much
  // less often as there are more of them.
  [[nodiscard]] auto ReadInterval(const endpoint_row& row, instant now) const
      -> duration;
  auto TakeCommands() -> std::vector<command>;

  migration_options options_;
  wanted_state wanted_;
  instant accepted_at_{};
  endpoint_table endpoints_;
  reconciler_lease lease_;
  std::size_t live_vms_ = 1;
  // Names that some endpoint on its way out still serves.
  std::set<std::string> names_on_the_move_;
  std::map<attention, std::size_t> attention_counts_;
  bool has_changed_ = false;
  instant next_decision_{};
  // Where the last tick stopped asking for reports.
  endpoint_id read_cursor_;
  std::vector<command> commands_;
};

}  // namespace daisywind::migration

#endif  // DAISYWIND_MIGRATION_MIGRATION_SYSTEM_H_
