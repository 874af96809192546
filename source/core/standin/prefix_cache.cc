#include "standin/prefix_cache.h"

#include <algorithm>
#include <utility>

namespace daisywind::standin {

auto prefix_cache::Match(const block_hashes& blocks) -> std::size_t {
  const auto first_missing =
      std::find_if(blocks.begin(), blocks.end(),
                   [&](const std::string& hash) { return !Contains(hash); });
  // A later block is useless without the earlier ones. Touching in reverse
  // order makes it the one that is evicted first.
  for (auto hash = first_missing; hash != blocks.begin();) {
    --hash;
    Touch(*hash, blocks_.at(*hash));
  }
  return static_cast<std::size_t>(first_missing - blocks.begin());
}

auto prefix_cache::Insert(const block_hashes& blocks, instant now) -> void {
  auto stored = block_hashes{};
  for (const auto& hash : blocks) {
    if (Contains(hash)) {
      continue;
    }
    if (blocks_.size() >= capacity_ && !EvictOne(now)) {
      break;
    }
    Touch(hash, blocks_[hash]);
    stored.push_back(hash);
  }
  if (!stored.empty()) {
    Record(cache_event_type::kStored, std::move(stored), now);
  }
}

auto prefix_cache::Clear(instant now) -> void {
  if (blocks_.empty()) {
    return;
  }
  blocks_.clear();
  unpinned_.clear();
  for (auto& [program, pinned] : sessions_) {
    pinned.clear();
  }
  Record(cache_event_type::kCleared, {}, now);
}

auto prefix_cache::Pin(const std::string& program,
                       const block_hashes& blocks,
                       std::int64_t fence) -> pin_outcome {
  auto& last_fence = fences_[program];
  if (checks_fencing_ && fence < last_fence) {
    return pin_outcome::kStaleFence;
  }
  last_fence = std::max(last_fence, fence);
  auto& pinned = sessions_[program];
  for (const auto& hash : blocks) {
    if (!Contains(hash) || !pinned.insert(hash).second) {
      continue;
    }
    auto& block = blocks_.at(hash);
    unpinned_.erase(block.last_use);
    ++block.pins;
  }
  return pin_outcome::kPinned;
}

auto prefix_cache::Release(const std::string& program) -> bool {
  const auto found = sessions_.find(program);
  if (found == sessions_.end()) {
    return false;
  }
  const auto pinned = std::move(found->second);
  sessions_.erase(found);
  for (const auto& hash : pinned) {
    auto& block = blocks_.at(hash);
    --block.pins;
    Touch(hash, block);
  }
  return true;
}

auto prefix_cache::Sessions() const -> std::map<std::string, std::size_t> {
  auto sizes = std::map<std::string, std::size_t>{};
  for (const auto& [program, pinned] : sessions_) {
    sizes[program] = pinned.size();
  }
  return sizes;
}

auto prefix_cache::Usage() const -> double {
  return static_cast<double>(blocks_.size()) /
         static_cast<double>(std::max<std::size_t>(capacity_, 1));
}

auto prefix_cache::Touch(const std::string& hash, block_state& block) -> void {
  unpinned_.erase(block.last_use);
  block.last_use = ++uses_;
  if (block.pins == 0) {
    unpinned_[block.last_use] = hash;
  }
}

auto prefix_cache::EvictOne(instant now) -> bool {
  if (unpinned_.empty()) {
    return false;
  }
  const auto oldest = unpinned_.begin();
  auto hash = std::move(oldest->second);
  unpinned_.erase(oldest);
  blocks_.erase(hash);
  auto removed = block_hashes{};
  removed.push_back(std::move(hash));
  Record(cache_event_type::kRemoved, std::move(removed), now);
  return true;
}

auto prefix_cache::Record(cache_event_type type,
                          block_hashes blocks,
                          instant now) -> void {
  events_.push_back({++last_sequence_, type, std::move(blocks), now});
  if (events_.size() > kMaxEvents) {
    events_.pop_front();
  }
}

}  // namespace daisywind::standin
