// The endpoints known to one gateway, with estimates of their load.
#ifndef DAISYWIND_POLICY_ENDPOINT_TABLE_H_
#define DAISYWIND_POLICY_ENDPOINT_TABLE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "policy/health.h"
#include "policy/types.h"

namespace daisywind::policy {

// Row of an endpoint in the table. Rows are never removed or reused, so an
// index stays valid.
using endpoint_index = std::uint32_t;

// One call sent (+1) or finished (-1) by this gateway.
struct load_change {
  instant at;
  std::int32_t delta = 0;
};

struct endpoint_entry {
  endpoint_info info;
  bool is_present = false;
  bool is_leaving = false;
  bool is_local = false;
  load_report report;
  // Changes by this gateway that `report` does not include yet.
  std::deque<load_change> changes;
  std::int32_t own_in_flight = 0;
  std::int32_t unreported = 0;
  endpoint_health health;
  // Median slowdown of the endpoints that offer the same model or service.
  double peer_slowdown = 1.0;
  // Number of calls of this gateway in flight here whose request body is
  // suspected of having crashed an endpoint.
  std::uint32_t suspect_calls = 0;
};

class endpoint_table {
 public:
  // Endpoints in `region` are local.
  explicit endpoint_table(region_id region) : region_(std::move(region)) {}

  // Replaces the set of endpoints. Keeps load and health of the endpoints that
  // remain.
  auto Set(const std::vector<endpoint_info>& endpoints) -> void;

  // Applies a load report, unless it is older than the current one.
  auto ApplyReport(const load_report& report) -> void;

  // Marks an endpoint as leaving: it gets no new calls.
  auto SetLeaving(const endpoint_id& id) -> void;

  // Counts a call of this gateway that was sent to the endpoint (+1) or
  // finished there (-1).
  auto ChangeLoad(endpoint_index index, std::int32_t delta, instant now)
      -> void;

  // Estimated number of calls at the endpoint, over all gateways: the last
  // report, plus the calls that this gateway has sent and minus those it has
  // seen finish since then. Never less than this gateway's own calls in flight.
  [[nodiscard]] auto EstimatedLoad(endpoint_index index) const -> double;

  // Maximum number of calls that the endpoint should hold, over all gateways.
  // Reduced when the endpoint is slower than its peers.
  [[nodiscard]] auto ConcurrencyLimit(endpoint_index index) const -> double;

  // Whether the endpoint accepts new calls: it is configured, serving, not
  // leaving and not ejected.
  [[nodiscard]] auto IsUsable(endpoint_index index) const -> bool;

  [[nodiscard]] auto HasRoom(endpoint_index index) const -> bool;

  [[nodiscard]] auto Find(const endpoint_id& id) const
      -> std::optional<endpoint_index>;
  [[nodiscard]] auto At(endpoint_index index) const -> const endpoint_entry& {
    return entries_[index];
  }
  auto At(endpoint_index index) -> endpoint_entry& { return entries_[index]; }
  [[nodiscard]] auto size() const -> std::size_t { return entries_.size(); }

 private:
  auto FindOrAddRow(const endpoint_id& id) -> endpoint_index;

  region_id region_;
  std::vector<endpoint_entry> entries_;
  std::unordered_map<endpoint_id, endpoint_index> rows_;
};

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_ENDPOINT_TABLE_H_
