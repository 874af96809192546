// Estimate of which endpoints have which prompt prefixes in their prefix cache.
// It is built from the calls of this gateway and from the cache events of the
// engines, which arrive late and can have gaps.
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

// An endpoint with the expected number of prompt tokens in its cache, counted
// from the start of the prompt.
struct cache_holder {
  endpoint_index endpoint = 0;
  double tokens = 0.0;

  auto operator<=>(const cache_holder&) const = default;
};

class cache_view {
 public:
  // Records that an endpoint has computed, and thus cached, these blocks.
  auto Store(endpoint_index endpoint,
             std::span<const prefix_block> prefix,
             instant now) -> void;

  // Removes the blocks of a prompt after its first `tokens` at an endpoint.
  auto Forget(endpoint_index endpoint,
              std::span<const prefix_block> prefix,
              std::uint32_t tokens) -> void;

  // Applies cache events of an endpoint. After a gap in the sequence numbers,
  // blocks stored before the gap count half, since their removal may have been
  // missed.
  auto Apply(endpoint_index endpoint,
             std::span<const cache_event> events,
             instant now) -> void;

  // Removes all blocks of an endpoint.
  auto Clear(endpoint_index endpoint) -> void;

  // The endpoints with the longest cached prefixes of a prompt, longest first,
  // at most `limit`.
  [[nodiscard]] auto Holders(std::span<const prefix_block> prefix,
                             std::size_t limit) const
      -> std::vector<cache_holder>;

  // Removes entries over the maximum age, and the oldest ones when there are
  // too many blocks. Does nothing until the prune interval has passed.
  auto Prune(instant now) -> void;

 private:
  struct block_entry {
    endpoint_index endpoint = 0;
    instant stored;
  };
  // Position in the event stream of one endpoint: the next expected sequence
  // number and the time of the last detected gap.
  struct event_cursor {
    std::uint64_t next = 0;
    std::optional<instant> last_gap;
  };

  auto StoreBlock(block_hash block, endpoint_index endpoint, instant now)
      -> void;
  auto RemoveBlock(block_hash block, endpoint_index endpoint) -> void;
  [[nodiscard]] auto Confidence(const block_entry& item) const -> double;
  auto Cursor(endpoint_index endpoint) -> event_cursor&;

  std::unordered_map<block_hash, std::vector<block_entry>> entries_;
  std::vector<event_cursor> cursors_;
  instant last_prune_;
};

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_CACHE_VIEW_H_
