#include "standin/prefix_cache.h"

#include <algorithm>
#include <utility>

namespace daisywind::standin {

auto prefix_cache::Match(const block_names& blocks) -> std::size_t {
  const auto missing =
      std::find_if(blocks.begin(), blocks.end(),
                   [&](const std::string& name) { return !Contains(name); });
  // A later block is of no use without the earlier ones and so goes first.
  for (auto name = missing; name != blocks.begin();) {
    --name;
    Touch(*name, blocks_.at(*name));
  }
  return static_cast<std::size_t>(missing - blocks.begin());
}

auto prefix_cache::Insert(const block_names& blocks, instant now) -> void {
  auto stored = block_names{};
  for (const auto& name : blocks) {
    if (Contains(name)) {
      continue;
    }
    if (blocks_.size() >= capacity_ && !EvictOne(now)) {
      break;
    }
    Touch(name, blocks_[name]);
    stored.push_back(name);
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
                       const block_names& blocks,
                       std::int64_t fence) -> pin_outcome {
  auto& last_fence = fences_[program];
  if (checks_fencing_ && fence < last_fence) {
    return pin_outcome::kStaleFence;
  }
  last_fence = std::max(last_fence, fence);
  auto& pinned = sessions_[program];
  for (const auto& name : blocks) {
    if (!Contains(name) || !pinned.insert(name).second) {
      continue;
    }
    auto& block = blocks_.at(name);
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
  for (const auto& name : pinned) {
    auto& block = blocks_.at(name);
    --block.pins;
    Touch(name, block);
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

auto prefix_cache::Touch(const std::string& name, block_state& block) -> void {
  unpinned_.erase(block.last_use);
  block.last_use = ++uses_;
  if (block.pins == 0) {
    unpinned_[block.last_use] = name;
  }
}

auto prefix_cache::EvictOne(instant now) -> bool {
  if (unpinned_.empty()) {
    return false;
  }
  const auto oldest = unpinned_.begin();
  auto name = std::move(oldest->second);
  unpinned_.erase(oldest);
  blocks_.erase(name);
  auto removed = block_names{};
  removed.push_back(std::move(name));
  Record(cache_event_type::kRemoved, std::move(removed), now);
  return true;
}

auto prefix_cache::Record(cache_event_type type,
                          block_names blocks,
                          instant now) -> void {
  events_.push_back({++last_sequence_, type, std::move(blocks), now});
  if (events_.size() > kMaxEvents) {
    events_.pop_front();
  }
}

}  // namespace daisywind::standin
