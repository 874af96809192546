#include "experiment/prefix_cache.h"

#include <utility>

namespace daisywind::experiment {

auto prefix_cache::Match(std::span<const policy::block_hash> blocks) const
    -> std::size_t {
  auto count = std::size_t{0};
  while (count < blocks.size() && positions_.contains(blocks[count])) {
    ++count;
  }
  return count;
}

auto prefix_cache::AddEvent(policy::cache_event_kind kind,
                            policy::block_hash block) -> void {
  if (events_.empty() || events_.back().kind != kind) {
    events_.push_back({next_sequence_++, kind, {}});
  }
  events_.back().blocks.push_back(block);
}

auto prefix_cache::Touch(policy::block_hash block) -> void {
  const auto found = positions_.find(block);
  if (found != positions_.end()) {
    lru_order_.splice(lru_order_.begin(), lru_order_, found->second);
    return;
  }
  lru_order_.push_front(block);
  positions_[block] = lru_order_.begin();
  AddEvent(policy::cache_event_kind::kStored, block);
}

auto prefix_cache::Evict() -> void {
  const auto block = lru_order_.back();
  lru_order_.pop_back();
  positions_.erase(block);
  AddEvent(policy::cache_event_kind::kRemoved, block);
}

auto prefix_cache::Insert(std::span<const policy::block_hash> blocks) -> void {
  // In reverse order, so that a block is evicted before the blocks of its
  // prefix, without which it cannot be matched.
  for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
    Touch(*block);
  }
  while (lru_order_.size() > max_blocks_) {
    Evict();
  }
}

auto prefix_cache::Clear() -> void {
  lru_order_.clear();
  positions_.clear();
  events_.clear();
  events_.push_back({next_sequence_++, policy::cache_event_kind::kCleared, {}});
}

auto prefix_cache::TakeEvents() -> std::vector<policy::cache_event> {
  return std::exchange(events_, {});
}

}  // namespace daisywind::experiment
