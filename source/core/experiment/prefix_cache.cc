#include "experiment/prefix_cache.h"

#include <utility>

namespace daisywind::experiment {

auto prefix_cache::Match(std::span<const policy::block_hash> blocks) const
    -> std::size_t {
  auto count = std::size_t{0};
  while (count < blocks.size() && places_.contains(blocks[count])) {
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
  const auto found = places_.find(block);
  if (found != places_.end()) {
    order_.splice(order_.begin(), order_, found->second);
    return;
  }
  order_.push_front(block);
  places_[block] = order_.begin();
  AddEvent(policy::cache_event_kind::kStored, block);
}

auto prefix_cache::Evict() -> void {
  const auto block = order_.back();
  order_.pop_back();
  places_.erase(block);
  AddEvent(policy::cache_event_kind::kRemoved, block);
}

auto prefix_cache::Insert(std::span<const policy::block_hash> blocks) -> void {
  // From the last to the first, so that a prefix outlives what builds on it.
  for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
    Touch(*block);
  }
  while (order_.size() > max_blocks_) {
    Evict();
  }
}

auto prefix_cache::Clear() -> void {
  order_.clear();
  places_.clear();
  events_.clear();
  events_.push_back({next_sequence_++, policy::cache_event_kind::kCleared, {}});
}

auto prefix_cache::TakeEvents() -> std::vector<policy::cache_event> {
  return std::exchange(events_, {});
}

}  // namespace daisywind::experiment
