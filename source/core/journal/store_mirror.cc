#include "journal/store_mirror.h"

#include <algorithm>

namespace daisywind::journal {

auto store_mirror::Restore(const history::store_copy& copy) -> void {
  if (copy.revision_at > revision_) {
    Replace({copy.items, copy.revision_at});
  }
}

auto store_mirror::Replace(const kv::listing& all) -> void {
  items_.clear();
  for (const auto& item : all.items) {
    items_.emplace(item.key, item);
  }
  revision_ = all.revision_at;
}

auto store_mirror::Apply(const kv::change_list& list) -> void {
  for (const auto& change : list.changes) {
    if (change.is_removed) {
      items_.erase(change.item.key);
    } else {
      items_.insert_or_assign(change.item.key, change.item);
    }
  }
  revision_ = std::max(revision_, list.next);
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
