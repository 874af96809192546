// Estimate of which endpoints hold which prompt prefixes, from this gateway's
// own calls and from cache events that come late and with gaps.
#ifndef DAISYWIND_POLICY_CACHE_VIEW_H_
#define DAISYWIND_POLICY_CACHE_VIEW_H_

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "policy/endpoint_table.h"
#include "policy/types.h"

namespace daisywind::policy {

// An endpoint that probably holds the first `tokens` of a prompt.
struct cache_holder {
  endpoint_index endpoint = 0;
  double tokens = 0.0;

  auto operator<=>(const cache_holder&) const = default;
};

class cache_view {
 public:
  // Records that an endpoint has computed these blocks.
  auto Store(endpoint_index endpoint,
             std::span<const prefix_block> prefix,
             instant now) -> void;

  // Forgets blocks of a prompt beyond its first `tokens` at an endpoint.
  auto Forget(endpoint_index endpoint,
              std::span<const prefix_block> prefix,
              std::uint32_t tokens) -> void;

  // Takes an endpoint's events. After a gap in their sequence, what was stored
  // before counts half.
  auto Apply(endpoint_index endpoint,
             std::span<const cache_event> events,
             instant now) -> void;

  // Forgets all that an endpoint holds.
  auto Clear(endpoint_index endpoint) -> void;

  // The endpoints with the longest held prefixes of a prompt, longest first,
  // at most `limit`.
  [[nodiscard]] auto Holders(std::span<const prefix_block> prefix,
                             std::size_t limit) const
      -> std::vector<cache_holder>;

  // Forgets the oldest entries when there are too many.
  auto Prune(instant now) -> void;

 private:
  struct copy {
    endpoint_index endpoint = 0;
    instant stored;
  };
  // Events of one endpoint: the next number and the time that events were
  // lost at.
  struct event_cursor {
    std::uint64_t next = 0;
    std::optional<instant> last_gap;
  };

  auto StoreBlock(block_hash block, endpoint_index endpoint, instant now)
      -> void;
  auto RemoveBlock(block_hash block, endpoint_index endpoint) -> void;
  [[nodiscard]] auto Confidence(const copy& item) const -> double;
  auto Cursor(endpoint_index endpoint) -> event_cursor&;

  std::unordered_map<block_hash, std::vector<copy>> copies_;
  std::vector<event_cursor> cursors_;
  instant last_prune_;
};

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_CACHE_VIEW_H_
