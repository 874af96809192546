#include "journal/store_mirror.h"

#include <algorithm>
#include <utility>

#include "common/deflate.h"

namespace daisywind::journal {
namespace {

// Smaller values are sent as they are, in bytes.
constexpr auto kMinDeflatedBytes = std::size_t{4} * 1024;

}  // namespace

auto store_mirror::Restore(const history::store_copy& copy) -> void {
  if (copy.revision_at > revision_) {
    *this = store_mirror{};
    Replace({copy.items, copy.revision_at});
  }
}

auto store_mirror::Replace(const kv::listing& all) -> void {
  auto previous = std::exchange(items_, {});
  for (const auto& item : all.items) {
    const auto found = previous.find(item.key);
    if (found != previous.end() && found->second.item == item) {
      items_.insert(previous.extract(found));
    } else {
      previous.erase(item.key);
      Put(item);
    }
    removals_.erase(item.key);
  }
  if (revision_ == 0) {
    removals_since_ = all.revision_at;
  } else if (all.revision_at > revision_) {
    gaps_.emplace_back(revision_, all.revision_at);
  }
  for (const auto& [key, removed] : previous) {
    removals_.insert_or_assign(key, all.revision_at);
  }
  revision_ = all.revision_at;
  DropOldRemovals();
}

auto store_mirror::Apply(const kv::change_list& list) -> void {
  for (const auto& change : list.changes) {
    if (change.is_removed) {
      items_.erase(change.item.key);
      removals_.insert_or_assign(change.item.key, change.item.mod_revision);
    } else {
      Put(change.item);
      removals_.erase(change.item.key);
    }
  }
  revision_ = std::max(revision_, list.next);
  DropOldRemovals();
}

auto store_mirror::Put(const kv::key_value& item) -> void {
  auto to = entry{item, std::nullopt};
  if (item.value.size() >= kMinDeflatedBytes) {
    to.deflated = Deflate(item.value);
  }
  items_.insert_or_assign(item.key, std::move(to));
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
  auto reply = history::copy_reply{};
  reply.revision_at = revision_;
  if (revision_ <= request.known || request.wants_revision) {
    return reply;
  }
  reply.copy = history::store_copy{revision_, {}};
  reply.has_only_changes =
      request.wants_changes && HasRemovalsSince(request.known);
  if (!reply.has_only_changes) {
    AddChangedSince(0, request.takes_deflated, reply);
    return reply;
  }
  AddChangedSince(request.known, request.takes_deflated, reply);
  for (const auto& [key, removed_at] : removals_) {
    if (removed_at > request.known) {
      reply.removed.push_back(key);
    }
  }
  return reply;
}

auto store_mirror::AddChangedSince(kv::revision known,
                                   bool takes_deflated,
                                   history::copy_reply& reply) const -> void {
  for (const auto& [key, from] : items_) {
    const auto& item = from.item;
    if (item.mod_revision <= known) {
      continue;
    }
    if (takes_deflated && from.deflated) {
      reply.deflated.push_back(
          {{key, *from.deflated, item.create_revision, item.mod_revision},
           item.value.size()});
    } else {
      reply.copy->items.push_back(item);
    }
  }
}

auto store_mirror::CopyIfNewer(kv::revision known) const
    -> std::optional<history::store_copy> {
  return ReplyTo({known}).copy;
}

}  // namespace daisywind::journal
