#include "policy/cache_view.h"

#include <algorithm>

namespace daisywind::policy {
namespace {

constexpr auto kMaxBlocks = std::size_t{400'000};
constexpr auto kMaxAge = 600s;
constexpr auto kPruneInterval = 10s;
constexpr auto kConfidenceAfterGap = 0.5;
// The first blocks of a prompt are shared by many prompts and can be cached by
// every endpoint, so the number of entries per block is limited. This bounds
// the lookup, which goes from the longest prefix down.
constexpr auto kMaxEntriesPerBlock = std::size_t{64};

}  // namespace

auto cache_view::Cursor(endpoint_index endpoint) -> event_cursor& {
  if (cursors_.size() <= endpoint) {
    cursors_.resize(endpoint + 1);
  }
  return cursors_[endpoint];
}

auto cache_view::StoreBlock(block_hash block,
                            endpoint_index endpoint,
                            instant now) -> void {
  auto& entries = entries_[block];
  const auto found =
      std::ranges::find(entries, endpoint, &block_entry::endpoint);
  if (found != entries.end()) {
    found->stored = now;
    return;
  }
  if (entries.size() < kMaxEntriesPerBlock) {
    entries.push_back({endpoint, now});
  }
}

auto cache_view::RemoveBlock(block_hash block, endpoint_index endpoint)
    -> void {
  const auto found = entries_.find(block);
  if (found == entries_.end()) {
    return;
  }
  std::erase_if(found->second, [endpoint](const block_entry& item) {
    return item.endpoint == endpoint;
  });
  if (found->second.empty()) {
    entries_.erase(found);
  }
}

auto cache_view::Store(endpoint_index endpoint,
                       std::span<const prefix_block> prefix,
                       instant now) -> void {
  for (const auto& prefix_item : prefix) {
    StoreBlock(prefix_item.block, endpoint, now);
  }
}

auto cache_view::Forget(endpoint_index endpoint,
                        std::span<const prefix_block> prefix,
                        std::uint32_t tokens) -> void {
  for (const auto& prefix_item : prefix) {
    if (prefix_item.tokens > tokens) {
      RemoveBlock(prefix_item.block, endpoint);
    }
  }
}

auto cache_view::Apply(endpoint_index endpoint,
                       std::span<const cache_event> events,
                       instant now) -> void {
  for (const auto& event : events) {
    auto& cursor = Cursor(endpoint);
    if (cursor.next != 0 && event.sequence > cursor.next) {
      cursor.last_gap = now;
    }
    cursor.next = std::max(cursor.next, event.sequence + 1);
    if (event.kind == cache_event_kind::kCleared) {
      Clear(endpoint);
    }
    for (const auto block : event.blocks) {
      if (event.kind == cache_event_kind::kStored) {
        StoreBlock(block, endpoint, now);
      } else {
        RemoveBlock(block, endpoint);
      }
    }
  }
}

auto cache_view::Clear(endpoint_index endpoint) -> void {
  for (auto& [block, entries] : entries_) {
    std::erase_if(entries, [endpoint](const block_entry& item) {
      return item.endpoint == endpoint;
    });
  }
}

auto cache_view::Confidence(const block_entry& item) const -> double {
  if (item.endpoint >= cursors_.size()) {
    return 1.0;
  }
  const auto& gap = cursors_[item.endpoint].last_gap;
  return gap && item.stored < *gap ? kConfidenceAfterGap : 1.0;
}

auto cache_view::Holders(std::span<const prefix_block> prefix,
                         std::size_t limit) const -> std::vector<cache_holder> {
  auto holders = std::vector<cache_holder>{};
  for (auto prefix_item = prefix.rbegin(); prefix_item != prefix.rend();
       ++prefix_item) {
    const auto found = entries_.find(prefix_item->block);
    if (found == entries_.end()) {
      continue;
    }
    for (const auto& item : found->second) {
      if (std::ranges::find(holders, item.endpoint, &cache_holder::endpoint) !=
          holders.end()) {
        continue;
      }
      holders.push_back(
          {item.endpoint, Confidence(item) * prefix_item->tokens});
      if (holders.size() >= limit) {
        return holders;
      }
    }
  }
  return holders;
}

auto cache_view::Prune(instant now) -> void {
  if (now - last_prune_ < kPruneInterval) {
    return;
  }
  last_prune_ = now;
  auto max_age = duration{kMaxAge};
  do {
    for (auto& [block, entries] : entries_) {
      std::erase_if(entries, [now, max_age](const block_entry& item) {
        return now - item.stored > max_age;
      });
    }
    std::erase_if(entries_,
                  [](const auto& item) { return item.second.empty(); });
    max_age /= 2;
  } while (entries_.size() > kMaxBlocks);
}

}  // namespace daisywind::policy
