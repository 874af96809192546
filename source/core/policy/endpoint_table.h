// The endpoints that one gateway knows, with its estimate of their load.
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

// Row of an endpoint in the table. Stays the same while the endpoint is known.
using endpoint_index = std::uint32_t;

// A call sent (+1) or finished (-1) by this gateway.
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
  // Own changes that the report does not contain yet.
  std::deque<load_change> changes;
  std::int32_t own_in_flight = 0;
  std::int32_t unreported = 0;
  endpoint_health health;
  // Median slowdown of the endpoints that offer the same.
  double peer_slowdown = 1.0;
  // Suspects of crashes that run here from this gateway.
  std::uint32_t suspects = 0;
};

class endpoint_table {
 public:
  // Endpoints of `region` count as local.
  explicit endpoint_table(region_id region) : region_(std::move(region)) {}

  // Replaces the endpoints and keeps what is known of those that stay.
  auto Set(const std::vector<endpoint_info>& endpoints) -> void;

  // Takes a load report unless it is older than the last.
  auto Report(const load_report& report) -> void;

  // Marks an endpoint as leaving.
  auto SetLeaving(const endpoint_id& id) -> void;

  // Counts one call sent to an endpoint or finished there by this gateway.
  auto Change(endpoint_index index, std::int32_t delta, instant now) -> void;

  // Calls at the endpoint, over all gateways: the last report, corrected by
  // what this gateway has sent and seen finished since, and never less than
  // what this gateway has in flight.
  [[nodiscard]] auto EstimatedLoad(endpoint_index index) const -> double;

  // Calls that the endpoint should hold at most, over all gateways. Falls with
  // the endpoint's measured slowdown.
  [[nodiscard]] auto ConcurrencyLimit(endpoint_index index) const -> double;

  // Whether the endpoint may get new work of any kind.
  [[nodiscard]] auto IsUsable(endpoint_index index) const -> bool;

  // Whether another call fits under the concurrency limit.
  [[nodiscard]] auto HasRoom(endpoint_index index) const -> bool;

  [[nodiscard]] auto Find(const endpoint_id& id) const
      -> std::optional<endpoint_index>;
  [[nodiscard]] auto At(endpoint_index index) const -> const endpoint_entry& {
    return entries_[index];
  }
  auto At(endpoint_index index) -> endpoint_entry& { return entries_[index]; }
  [[nodiscard]] auto size() const -> std::size_t { return entries_.size(); }

 private:
  auto RowFor(const endpoint_id& id) -> endpoint_index;

  region_id region_;
  std::vector<endpoint_entry> entries_;
  std::unordered_map<endpoint_id, endpoint_index> rows_;
};

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_ENDPOINT_TABLE_H_
