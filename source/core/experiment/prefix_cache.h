// The prefix cache of a fake engine: blocks in limited memory, evicted in the
// order of their last use.
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

// Tokens of a block. Coarser than an engine's, to keep runs short.
inline constexpr auto kBlockTokens = std::uint32_t{256};

// Blocks that any engine has held so far.
using block_set = std::unordered_set<policy::block_hash>;

class prefix_cache {
 public:
  explicit prefix_cache(std::uint32_t tokens)
      : max_blocks_(tokens / kBlockTokens) {}

  // Number of leading blocks that are held.
  [[nodiscard]] auto Match(std::span<const policy::block_hash> blocks) const
      -> std::size_t;

  // Holds blocks, as most recently used, and evicts others for them.
  auto Insert(std::span<const policy::block_hash> blocks) -> void;

  // Forgets everything.
  auto Clear() -> void;

  // Changes since the last call, numbered.
  auto TakeEvents() -> std::vector<policy::cache_event>;

 private:
  auto Touch(policy::block_hash block) -> void;
  auto Evict() -> void;
  auto AddEvent(policy::cache_event_kind kind, policy::block_hash block)
      -> void;

  std::size_t max_blocks_;
  // Most recently used first.
  std::list<policy::block_hash> order_;
  std::unordered_map<policy::block_hash,
                     std::list<policy::block_hash>::iterator>
      places_;
  std::vector<policy::cache_event> events_;
  std::uint64_t next_sequence_ = 1;
};

}  // namespace daisywind::experiment

#endif  // DAISYWIND_EXPERIMENT_PREFIX_CACHE_H_
