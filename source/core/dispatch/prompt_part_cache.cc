#include "dispatch/prompt_part_cache.h"

#include <algorithm>

namespace daisywind::dispatch {

auto prompt_part_cache::Add(const prompt_part& part) -> void {
  if (const auto found = entries_.find(part.id); found != entries_.end()) {
    auto& known = *found->second;
    known.tokens = std::max(known.tokens, part.tokens);
    by_recency_.splice(by_recency_.begin(), by_recency_, found->second);
    return;
  }
  by_recency_.push_front(part);
  entries_.emplace(part.id, by_recency_.begin());
  if (by_recency_.size() > capacity_) {
    entries_.erase(by_recency_.back().id);
    by_recency_.pop_back();
  }
}

auto prompt_part_cache::TokensOf(const prompt_part_id& part) const
    -> std::uint32_t {
  const auto found = entries_.find(part);
  return found == entries_.end() ? 0 : found->second->tokens;
}

}  // namespace daisywind::dispatch
