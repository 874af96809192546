#include "journal/store_mirror.h"

#include <algorithm>
#include <utility>

namespace daisywind::journal {

auto store_mirror::Restore(const history::store_copy& copy) -> void {
  if (copy.revision_at > revision_) {
    *this = store_mirror{};
    Replace({copy.items, copy.revision_at});
  }
}

auto store_mirror::Replace(const kv::listing& all) -> void {
  auto items = std::map<std::string, kv::key_value>{};
  for (const auto& item : all.items) {
    items.emplace(item.key, item);
    removals_.erase(item.key);
  }
  if (revision_ == 0) {
    removals_since_ = all.revision_at;
  } else if (all.revision_at > revision_) {
    gaps_.emplace_back(revision_, all.revision_at);
  }
  for (const auto& [key, item] : items_) {
    if (!items.contains(key)) {
      removals_.insert_or_assign(key, all.revision_at);
    }
  }
  items_ = std::move(items);
  revision_ = all.revision_at;
  DropOldRemovals();
}

auto store_mirror::Apply(const kv::change_list& list) -> void {
  for (const auto& change : list.changes) {
    if (change.is_removed) {
      items_.erase(change.item.key);
      removals_.insert_or_assign(change.item.key, change.item.mod_revision);
    } else {
      items_.insert_or_assign(change.item.key, change.item);
      removals_.erase(change.item.key);
    }
  }
  revision_ = std::max(revision_, list.next);
  DropOldRemovals();
}

auto store_mirror::DropOldRemovals() -> void {
  constexpr auto kMaxRemovals = std::size_t{4096};
  constexpr auto kMaxGaps = std::size_t{256};
  if (removals_.size() <= kMaxRemovals && gaps_.size() <= kMaxGaps) {
    return;
  }
  // All at once, so that the cost per removal stays constant.
  removals_.clear();
  gaps_.clear();
  removals_since_ = revision_;
}

auto store_mirror::HasRemovalsSince(kv::revision known) const -> bool {
  return known >= removals_since_ &&
         std::none_of(gaps_.begin(), gaps_.end(), [&](const auto& gap) {
           return known > gap.first && known < gap.second;
         });
}

auto store_mirror::ReplyTo(const history::copy_request& request) const
    -> history::copy_reply {
  if (!request.wants_changes || revision_ <= request.known ||
      !HasRemovalsSince(request.known)) {
    return {CopyIfNewer(request.known)};
  }
  auto reply = history::copy_reply{history::store_copy{revision_, {}},
                                   /*has_only_changes=*/true};
  for (const auto& [key, item] : items_) {
    if (item.mod_revision > request.known) {
      reply.copy->items.push_back(item);
    }
  }
  for (const auto& [key, removed_at] : removals_) {
    if (removed_at > request.known) {
      reply.removed.push_back(key);
    }
  }
  return reply;
}

auto store_mirror::CopyIfNewer(kv::revision known) const
    -> std::optional<history::store_copy> {
  if (revision_ <= known) {
    return std::nullopt;
  }
  auto copy = history::store_copy{revision_, {}};
  copy.items.reserve(items_.size());
  for (const auto& [key, item] : items_) {
    copy.items.push_back(item);
  }
  return copy;
}

}  // namespace daisywind::journal
