// Table of endpoints with the wanted state, the last report and the last order
// of each.
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
  // When the report was requested. The report is not older than this.
  instant asked_at{};

  auto operator<=>(const observation&) const = default;
};

// The last order that this VM sent to an endpoint.
struct sent_order {
  engine_order wanted;
  std::uint64_t fence = 0;
  version_number version = 0;
  instant sent_at{};
  // Number of consecutive orders with the same content.
  std::uint32_t attempts = 0;
  bool is_answered = false;
  // The engine stops serving a model while it executes the order.
  bool is_disruptive = false;

  auto operator<=>(const sent_order&) const = default;
};

// The state of one endpoint as this VM knows it.
struct endpoint_row {
  wanted_endpoint wanted;
  // When the current role became the wanted one.
  instant wanted_since{};
  // False when the configuration no longer lists the endpoint.
  bool is_configured = true;
  std::optional<observation> observed;
  // Start of the latest unbroken series of reports that show the serving role
  // and, unless the endpoint is leaving, all wanted models served.
  std::optional<instant> serving_since;
  // Start of the latest unbroken series of reports that show a role other than
  // serving and no request running.
  std::optional<instant> idle_since;
  // Start of the latest unbroken series of reports that show a load in
  // progress.
  std::optional<instant> loading_since;
  // When the first report request since the last report was found unanswered.
  std::optional<instant> unreachable_since;
  // When the endpoint last refused work; cleared by a later report that shows
  // the serving role.
  std::optional<instant> refused_at;
  bool is_vm_leaving = false;
  // Whether the endpoint, although it is to leave, has to keep serving until
  // its replacements meet the `need` of the names that it serves.
  bool is_retained = false;
  std::optional<instant> read_sent_at;
  instant next_read{};
  // Interval between report requests, and how long the last report is valid.
  duration read_interval{};
  duration report_validity{};
  instant next_release{};
  std::optional<sent_order> last_order;
  // Last routing state sent, and when the endpoint was last closed to new work.
  std::optional<routing_state> routing;
  instant closed_since{};
};

using endpoint_table = std::map<endpoint_id, endpoint_row>;

// Updates the table to a new configuration version. Endpoints that it no longer
// lists stay in the table with the wanted role empty until reports show them
// empty.
auto ApplyWanted(endpoint_table& table, const wanted_state& wanted, instant now)
    -> void;

// Records a report unless it is older than the last one.
auto ApplyReport(endpoint_row& row,
                 const engine_state& input,
                 const migration_options& options) -> void;

// Records that a report request was not answered.
auto ApplyUnreachable(endpoint_row& row, instant now) -> void;

// Marks the endpoints whose VMs the platform lists as leaving.
auto ApplyVmList(endpoint_table& table, const vm_list& input) -> void;

// Whether the endpoint should serve: its wanted role is serving and its VM is
// not leaving.
auto ShouldServe(const endpoint_row& row) -> bool;

// Whether the last report shows every wanted model served, in any version.
auto ServesWanted(const endpoint_row& row) -> bool;

// Names of the models or services that the endpoint serves, according to its
// last report.
auto NamesServed(const endpoint_row& row) -> std::set<std::string>;

// Whether a recent report shows the endpoint serving and nothing known since
// then contradicts it.
auto IsServing(const endpoint_row& row, instant now) -> bool;

// Whether the last report is recent enough to act on.
auto IsFresh(const endpoint_row& row, instant now) -> bool;

}  // namespace daisywind::migration

#endif  // DAISYWIND_MIGRATION_ENDPOINT_TABLE_H_
