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

  auto operator<=>(const sent_order&) const = default;
};

// One endpoint.
struct endpoint_row {
  wanted_endpoint wanted;
  // False when the configuration no longer names the endpoint.
  bool is_configured = true;
  std::optional<observation> observed;
  // Since when the endpoint has been seen with all that is wanted loaded.
  std::optional<instant> loaded_since;
  bool is_vm_leaving = false;
  // Set by a refusal until a later report shows the role serving.
  std::optional<instant> refused_at;
  std::optional<instant> read_sent_at;
  instant next_read{};
  instant next_release{};
  std::optional<sent_order> last_order;
  // Last routing state sent.
  std::optional<routing_state> routing;
  // Whether the endpoint has to serve although it should leave.
  bool is_held_for_need = false;
};

using endpoint_table = std::map<endpoint_id, endpoint_row>;

// Brings the table to a new version. Endpoints that are no longer named are
// kept, to be emptied, until they are proved empty.
auto ApplyWanted(endpoint_table& table, const wanted_state& wanted) -> void;

// Records a report, unless it is older than the one known.
auto ApplyReport(endpoint_table& table,
                 const wanted_state& wanted,
                 const engine_state& input) -> void;

// Marks the endpoints whose VMs leave.
auto ApplyVmList(endpoint_table& table, const vm_list& input) -> void;

// Whether the endpoint is to end in its role serving: configured so and on a
// VM that stays.
auto IsToServe(const endpoint_row& row) -> bool;

// Whether the last report is recent enough to act on.
auto IsFresh(const endpoint_row& row,
             instant now,
             const migration_options& options) -> bool;

// Whether the endpoint is in its final state: settled endpoints are read
// seldom.
auto IsSettled(const endpoint_row& row, const wanted_state& wanted) -> bool;

}  // namespace daisywind::migration

#endif  // DAISYWIND_MIGRATION_ENDPOINT_TABLE_H_
