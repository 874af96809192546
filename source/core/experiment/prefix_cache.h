// Simulation model of an engine's prefix cache: a fixed number of blocks with
// LRU eviction.
#ifndef DAISYWIND_EXPERIMENT_PREFIX_CACHE_H_
#define DAISYWIND_EXPERIMENT_PREFIX_CACHE_H_

#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "policy/types.h"

namespace daisywind::experiment {

// Tokens per block. Larger than the blocks of real engines, which keeps the
// simulation fast.
inline constexpr auto kBlockTokens = std::uint32_t{256};

// Blocks that any engine of the trial has ever cached.
using block_set = std::unordered_set<policy::block_hash>;

class prefix_cache {
 public:
  explicit prefix_cache(std::uint32_t tokens)
      : max_blocks_(tokens / kBlockTokens) {}

  // Number of leading blocks that are cached.
  [[nodiscard]] auto Match(std::span<const policy::block_hash> blocks) const
      -> std::size_t;

  // Inserts blocks, or marks them as most recently used, and evicts the least
  // recently used ones beyond the capacity.
  auto Insert(std::span<const policy::block_hash> blocks) -> void;

  // Removes all blocks. Events not yet taken are replaced by a single cleared
  // event.
  auto Clear() -> void;

  // Returns the cache events since the previous call. Their sequence numbers
  // increase by one.
  auto TakeEvents() -> std::vector<policy::cache_event>;

 private:
  auto Touch(policy::block_hash block) -> void;
  auto Evict() -> void;
  auto AddEvent(policy::cache_event_kind kind, policy::block_hash block)
      -> void;

  std::size_t max_blocks_;
  // Most recently used first.
  std::list<policy::block_hash> lru_order_;
  std::unordered_map<policy::block_hash,
                     std::list<policy::block_hash>::iterator>
      positions_;
  std::vector<policy::cache_event> events_;
  std::uint64_t next_sequence_ = 1;
};

}  // namespace daisywind::experiment

#endif  // DAISYWIND_EXPERIMENT_PREFIX_CACHE_H_
