// The table of endpoints: what is wanted of each, what it last reported, and
// what was asked of it.
#ifndef DAISYWIND_MIGRATION_ENDPOINT_TABLE_H_
#define DAISYWIND_MIGRATION_ENDPOINT_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "common/ids.h"
#include "common/time.h"
#include "migration/events.h"
#include "migration/migration_options.h"
#include "migration/wanted_state.h"

namespace daisywind::migration {

// The last report of an endpoint.
struct observation {
  engine_report report;
  // Not older than this.
  instant asked_at{};

  auto operator<=>(const observation&) const = default;
};

// The last order that this VM sent to an endpoint.
struct sent_order {
  engine_order wanted;
  std::uint64_t fence = 0;
  version_number version = 0;
  instant sent_at{};
  // Consecutive orders of the same content.
  std::uint32_t attempts = 0;
  bool is_answered = false;
  // The engine stops serving a model while it carries the order out.
  bool is_disruptive = false;

  auto operator<=>(const sent_order&) const = default;
};

// One endpoint.
struct endpoint_row {
  wanted_endpoint wanted;
  // Since when the present role is wanted.
  instant wanted_since{};
  // False when the configuration no longer names the endpoint.
  bool is_configured = true;
  std::optional<observation> observed;
  // Since when all reports have shown the role serving and, unless the endpoint
  // is leaving, the wanted models served.
  std::optional<instant> serving_since;
  // Since when all reports have shown no new work taken and none running.
  std::optional<instant> idle_since;
  // Since when all reports have shown something being loaded.
  std::optional<instant> loading_since;
  // Since when no request for a report has been answered.
  std::optional<instant> unreachable_since;
  // Set by a refusal until a later report shows the role serving.
  std::optional<instant> refused_at;
  bool is_vm_leaving = false;
  // Whether the endpoint has to serve although it should leave.
  bool is_held_for_need = false;
  std::optional<instant> read_sent_at;
  instant next_read{};
  // Interval at which reports are asked for, and how long the last one holds.
  duration read_interval{};
  duration report_validity{};
  instant next_release{};
  std::optional<sent_order> last_order;
  // Last routing state sent, and since when it has been closed.
  std::optional<routing_state> routing;
  instant closed_since{};
};

using endpoint_table = std::map<endpoint_id, endpoint_row>;

// Brings the table to a new version. Endpoints that are no longer named are
// kept, to be emptied, until they are proved empty.
auto ApplyWanted(endpoint_table& table, const wanted_state& wanted, instant now)
    -> void;

// Records a report, unless it is older than the one known.
auto ApplyReport(endpoint_row& row,
                 const engine_state& input,
                 const migration_options& options) -> void;

// Records that a request for a report was not answered.
auto ApplyUnreachable(endpoint_row& row, instant now) -> void;

// Marks the endpoints whose VMs leave.
auto ApplyVmList(endpoint_table& table, const vm_list& input) -> void;

// Whether the endpoint is to end in its role serving: configured so and on a
// VM that stays.
auto IsToServe(const endpoint_row& row) -> bool;

// Whether the last report shows every wanted model served in some version.
auto ServesWanted(const endpoint_row& row) -> bool;

// The names under which the endpoint serves now, by its last report.
auto NamesServed(const endpoint_row& row) -> std::set<std::string>;

// Whether the endpoint serves now, as far as a fresh report tells.
auto IsServing(const endpoint_row& row, instant now) -> bool;

// Whether the last report is recent enough to act on.
auto IsFresh(const endpoint_row& row, instant now) -> bool;

}  // namespace daisywind::migration

#endif  // DAISYWIND_MIGRATION_ENDPOINT_TABLE_H_
