#include "policy/cache_view.h"

#include <algorithm>

namespace daisywind::policy {
namespace {

constexpr auto kMaxBlocks = std::size_t{400'000};
constexpr auto kMaxAge = 600s;
constexpr auto kPruneInterval = 10s;
constexpr auto kConfidenceAfterGap = 0.5;
// Prompts share their first blocks with many others, so the walk from the
// longest prefix down is cut short.
constexpr auto kMaxCopiesPerBlock = std::size_t{64};

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
  auto& copies = copies_[block];
  const auto found = std::ranges::find(copies, endpoint, &copy::endpoint);
  if (found != copies.end()) {
    found->stored = now;
    return;
  }
  if (copies.size() < kMaxCopiesPerBlock) {
    copies.push_back({endpoint, now});
  }
}

auto cache_view::RemoveBlock(block_hash block, endpoint_index endpoint)
    -> void {
  const auto found = copies_.find(block);
  if (found == copies_.end()) {
    return;
  }
  std::erase_if(found->second, [endpoint](const copy& item) {
    return item.endpoint == endpoint;
  });
  if (found->second.empty()) {
    copies_.erase(found);
  }
}

auto cache_view::Store(endpoint_index endpoint,
                       std::span<const prefix_block> prefix,
                       instant now) -> void {
  for (const auto& mark : prefix) {
    StoreBlock(mark.block, endpoint, now);
  }
}

auto cache_view::Forget(endpoint_index endpoint,
                        std::span<const prefix_block> prefix,
                        std::uint32_t tokens) -> void {
  for (const auto& mark : prefix) {
    if (mark.tokens > tokens) {
      RemoveBlock(mark.block, endpoint);
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
  for (auto& [block, copies] : copies_) {
    std::erase_if(copies, [endpoint](const copy& item) {
      return item.endpoint == endpoint;
    });
  }
}

auto cache_view::Confidence(const copy& item) const -> double {
  if (item.endpoint >= cursors_.size()) {
    return 1.0;
  }
  const auto& gap = cursors_[item.endpoint].last_gap;
  return gap && item.stored < *gap ? kConfidenceAfterGap : 1.0;
}

auto cache_view::Holders(std::span<const prefix_block> prefix,
                         std::size_t limit) const -> std::vector<cache_holder> {
  auto holders = std::vector<cache_holder>{};
  for (auto mark = prefix.rbegin(); mark != prefix.rend(); ++mark) {
    const auto found = copies_.find(mark->block);
    if (found == copies_.end()) {
      continue;
    }
    for (const auto& item : found->second) {
      if (std::ranges::find(holders, item.endpoint, &cache_holder::endpoint) !=
          holders.end()) {
        continue;
      }
      holders.push_back({item.endpoint, Confidence(item) * mark->tokens});
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
    for (auto& [block, copies] : copies_) {
      std::erase_if(copies, [now, max_age](const copy& item) {
        return now - item.stored > max_age;
      });
    }
    std::erase_if(copies_,
                  [](const auto& item) { return item.second.empty(); });
    max_age /= 2;
  } while (copies_.size() > kMaxBlocks);
}

}  // namespace daisywind::policy
