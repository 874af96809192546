#include "standin/kv_store.h"

#include <algorithm>
#include <utility>

namespace daisywind::standin {
namespace {

auto Matches(std::strong_ordering order, compare_result wanted) -> bool {
  switch (wanted) {
    case compare_result::kEqual:
      return order == 0;
    case compare_result::kGreater:
      return order > 0;
    case compare_result::kLess:
      return order < 0;
    case compare_result::kNotEqual:
      return order != 0;
  }
  return false;
}

auto NumberOf(const kv_entry& entry, compare_target target) -> std::int64_t {
  switch (target) {
    case compare_target::kVersion:
      return entry.version;
    case compare_target::kCreateRevision:
      return entry.create_revision;
    case compare_target::kModRevision:
      return entry.mod_revision;
    case compare_target::kLease:
      return entry.lease;
    case compare_target::kValue:
      break;
  }
  return 0;
}

}  // namespace

auto key_range::Contains(std::string_view other) const -> bool {
  if (range_end.empty()) {
    return other == key;
  }
  const auto is_unbounded = range_end == std::string_view("\0", 1);
  return other >= key && (is_unbounded || other < range_end);
}

auto kv_store::Apply(const kv_op& op) -> std::optional<kv_op_result> {
  if (!AllLeasesExist({op})) {
    return std::nullopt;
  }
  return RunAll({op}).front();
}

auto kv_store::Apply(const kv_txn& txn) -> std::optional<txn_result> {
  const auto has_succeeded =
      std::all_of(txn.compares.begin(), txn.compares.end(),
                  [&](const kv_compare& item) { return IsSatisfied(item); });
  const auto& ops = has_succeeded ? txn.success : txn.failure;
  if (!AllLeasesExist(ops)) {
    return std::nullopt;
  }
  return txn_result{has_succeeded, RunAll(ops)};
}

auto kv_store::RunAll(const std::vector<kv_op>& ops)
    -> std::vector<kv_op_result> {
  const auto new_revision = revision_ + 1;
  auto results = std::vector<kv_op_result>{};
  for (const auto& op : ops) {
    results.push_back(std::visit(
        [&](const auto& item) { return Run(item, new_revision); }, op));
  }
  return results;
}

auto kv_store::Run(const put_op& op, kv_revision new_revision) -> kv_op_result {
  DetachFromLease(op.key);
  auto& entry = entries_[op.key];
  if (entry.version == 0) {
    entry.key = op.key;
    entry.create_revision = new_revision;
  }
  entry.value = op.value;
  entry.mod_revision = new_revision;
  entry.lease = op.lease;
  ++entry.version;
  if (op.lease != 0) {
    leases_[op.lease].keys.insert(op.key);
  }
  Record({false, entry});
  return put_result{};
}

auto kv_store::Run(const range_op& op, kv_revision /*new_revision*/)
    -> kv_op_result {
  auto result = range_result{};
  for (auto item = entries_.lower_bound(op.range.key);
       item != entries_.end() && op.range.Contains(item->first); ++item) {
    ++result.count;
    if (op.limit == 0 || result.entries.size() < op.limit) {
      result.entries.push_back(item->second);
    }
  }
  return result;
}

auto kv_store::Run(const delete_op& op, kv_revision new_revision)
    -> kv_op_result {
  auto keys = std::vector<std::string>{};
  for (auto item = entries_.lower_bound(op.range.key);
       item != entries_.end() && op.range.Contains(item->first); ++item) {
    keys.push_back(item->first);
  }
  for (const auto& key : keys) {
    Erase(key, new_revision);
  }
  return delete_result{keys.size()};
}

auto kv_store::Erase(const std::string& key, kv_revision new_revision) -> void {
  DetachFromLease(key);
  entries_.erase(key);
  auto tombstone = kv_entry{};
  tombstone.key = key;
  tombstone.mod_revision = new_revision;
  Record({true, std::move(tombstone)});
}

auto kv_store::Record(kv_event event) -> void {
  revision_ = event.entry.mod_revision;
  events_.push_back(std::move(event));
  if (events_.size() > kMaxEvents) {
    dropped_revision_ = events_.front().entry.mod_revision;
    events_.pop_front();
  }
}

auto kv_store::DetachFromLease(const std::string& key) -> void {
  const auto entry = entries_.find(key);
  if (entry == entries_.end()) {
    return;
  }
  const auto lease = leases_.find(entry->second.lease);
  if (lease != leases_.end()) {
    lease->second.keys.erase(key);
  }
}

auto kv_store::AllLeasesExist(const std::vector<kv_op>& ops) const -> bool {
  return std::all_of(ops.begin(), ops.end(), [&](const kv_op& op) {
    const auto* put = std::get_if<put_op>(&op);
    return put == nullptr || put->lease == 0 || leases_.contains(put->lease);
  });
}

auto kv_store::IsSatisfied(const kv_compare& compare) const -> bool {
  const auto found = entries_.find(compare.key);
  const auto is_absent = found == entries_.end();
  if (compare.target == compare_target::kValue) {
    return !is_absent &&
           Matches(found->second.value <=> compare.value, compare.result);
  }
  const auto number = is_absent ? 0 : NumberOf(found->second, compare.target);
  return Matches(number <=> compare.number, compare.result);
}

auto kv_store::Grant(lease_id id, duration ttl, instant now) -> lease_id {
  const auto chosen = id == 0 ? ++next_lease_ : id;
  if (leases_.contains(chosen)) {
    return 0;
  }
  leases_[chosen] = {ttl, now + ttl, {}};
  return chosen;
}

auto kv_store::KeepAlive(lease_id id, instant now) -> std::optional<duration> {
  const auto found = leases_.find(id);
  if (found == leases_.end()) {
    return std::nullopt;
  }
  found->second.expires_at = now + found->second.ttl;
  return found->second.ttl;
}

auto kv_store::Revoke(lease_id id) -> bool {
  const auto found = leases_.find(id);
  if (found == leases_.end()) {
    return false;
  }
  const auto keys = found->second.keys;
  const auto new_revision = revision_ + 1;
  for (const auto& key : keys) {
    Erase(key, new_revision);
  }
  leases_.erase(id);
  return true;
}

auto kv_store::ExpireLeases(instant now) -> void {
  auto expired = std::vector<lease_id>{};
  for (const auto& [id, lease] : leases_) {
    if (lease.expires_at <= now) {
      expired.push_back(id);
    }
  }
  for (const auto id : expired) {
    Revoke(id);
  }
}

auto kv_store::OldestRevision() const -> kv_revision {
  return dropped_revision_ + 1;
}

auto kv_store::EventsFrom(const key_range& range, kv_revision start) const
    -> std::vector<kv_event> {
  const auto first =
      std::lower_bound(events_.begin(), events_.end(), start,
                       [](const kv_event& event, kv_revision revision) {
                         return event.entry.mod_revision < revision;
                       });
  auto found = std::vector<kv_event>{};
  std::copy_if(
      first, events_.end(), std::back_inserter(found),
      [&](const kv_event& event) { return range.Contains(event.entry.key); });
  return found;
}

}  // namespace daisywind::standin
