#include "membership/member_table.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <string>
#include <utility>

#include "common/digest.h"

namespace daisywind::membership {
namespace {

// Fisher-Yates shuffle. std::shuffle is not used because its result differs
// between standard libraries, and runs must be reproducible from their seed.
template <class T>
auto Shuffle(std::vector<T>& items, random_source& random) -> void {
  for (auto i = items.size(); i > 1; --i) {
    std::swap(items[i - 1], items[random.UniformBelow(i)]);
  }
}

auto IncarnationHash(const vm_ref& ref) -> std::uint64_t {
  return PlacementHash(ref.vm.value, ref.run);
}

// Sort key of an update. Failure reports and refutations are sent before
// records of members that have started, because there can be many of the
// latter.
auto UpdatePriority(const member_row& row) -> std::pair<bool, std::uint32_t> {
  const auto is_state_change =
      row.record.state != member_state::kAlive || row.record.refutation > 0;
  return {is_state_change, row.transmissions_left};
}

}  // namespace

auto member_table::Find(const vm_id& vm) const -> const member_row* {
  const auto found = rows_.find(vm);
  return found == rows_.end() ? nullptr : &found->second;
}

auto member_table::Store(const member& record,
                         instant now,
                         std::uint32_t transmissions) -> void {
  auto& row = rows_[record.ref.vm];
  const auto is_new = row.record.ref.empty();
  const auto was_live = !is_new && IsLive(row.record);
  const auto was_suspect =
      !is_new && row.record.state == member_state::kSuspect;
  live_count_ += IsLive(record) ? 1 : 0;
  live_count_ -= was_live ? 1 : 0;
  suspect_count_ += record.state == member_state::kSuspect ? 1 : 0;
  suspect_count_ -= was_suspect ? 1 : 0;
  row = member_row{record, now, transmissions};
  pending_updates_.insert(record.ref.vm);
}

auto member_table::PruneDead(instant now, duration age) -> void {
  std::erase_if(rows_, [&](const auto& item) {
    const auto& row = item.second;
    return !IsLive(row.record) && row.since + age <= now;
  });
}

auto member_table::ExtendSuspicions(duration pause) -> void {
  for (auto& [vm, row] : rows_) {
    if (row.record.state == member_state::kSuspect) {
      row.since += pause;
    }
  }
}

auto member_table::NextToProbe(random_source& random) -> std::optional<member> {
  if (probe_round_.empty()) {
    for (const auto& [vm, row] : rows_) {
      probe_round_.push_back(vm);
    }
    Shuffle(probe_round_, random);
  }
  while (!probe_round_.empty()) {
    const auto* row = Find(probe_round_.back());
    probe_round_.pop_back();
    if (row != nullptr && IsLive(row->record)) {
      return row->record;
    }
  }
  return std::nullopt;
}

auto member_table::SampleAlive(random_source& random,
                               std::size_t count,
                               const vm_id& except) const
    -> std::vector<member> {
  auto sample = std::vector<member>{};
  auto seen = std::uint64_t{0};
  for (const auto& [vm, row] : rows_) {
    if (row.record.state != member_state::kAlive || vm == except) {
      continue;
    }
    ++seen;
    if (sample.size() < count) {
      sample.push_back(row.record);
    } else if (const auto slot = random.UniformBelow(seen); slot < count) {
      sample[slot] = row.record;
    }
  }
  return sample;
}

auto member_table::SampleDead(random_source& random) const
    -> std::optional<member> {
  auto live_addresses = std::set<std::string>{};
  auto dead = std::vector<const member*>{};
  for (const auto& [vm, row] : rows_) {
    if (IsLive(row.record)) {
      live_addresses.insert(row.record.address);
    } else {
      dead.push_back(&row.record);
    }
  }
  std::erase_if(dead, [&](const member* record) {
    return live_addresses.contains(record->address);
  });
  if (dead.empty()) {
    return std::nullopt;
  }
  return *dead[random.UniformBelow(dead.size())];
}

auto member_table::IsAddressInUse(const std::string& address) const -> bool {
  return std::any_of(rows_.begin(), rows_.end(), [&](const auto& item) {
    return item.second.record.address == address && IsLive(item.second.record);
  });
}

auto member_table::TakeUpdates(std::size_t count) -> std::vector<member> {
  auto rows = std::vector<member_row*>{};
  for (auto it = pending_updates_.begin(); it != pending_updates_.end();) {
    const auto row = rows_.find(*it);
    if (row == rows_.end() || row->second.transmissions_left == 0) {
      it = pending_updates_.erase(it);
      continue;
    }
    rows.push_back(&row->second);
    ++it;
  }
  const auto taken = std::min(count, rows.size());
  std::partial_sort(rows.begin(),
                    rows.begin() + static_cast<std::ptrdiff_t>(taken),
                    rows.end(), [](const member_row* a, const member_row* b) {
                      return UpdatePriority(*a) > UpdatePriority(*b);
                    });
  rows.resize(taken);
  auto updates = std::vector<member>{};
  for (auto* row : rows) {
    --row->transmissions_left;
    updates.push_back(row->record);
  }
  return updates;
}

auto member_table::Page(std::size_t& cursor, std::size_t count) const
    -> std::vector<member> {
  auto page = std::vector<member>{};
  if (cursor >= rows_.size()) {
    cursor = 0;
  }
  auto row = std::next(rows_.begin(), static_cast<std::ptrdiff_t>(cursor));
  for (; row != rows_.end() && page.size() < count; ++row) {
    page.push_back(row->second.record);
  }
  cursor += page.size();
  return page;
}

auto member_table::SuspectedBefore(instant time) const -> std::vector<member> {
  auto found = std::vector<member>{};
  if (suspect_count_ == 0) {
    return found;
  }
  for (const auto& [vm, row] : rows_) {
    if (row.record.state == member_state::kSuspect && row.since <= time) {
      found.push_back(row.record);
    }
  }
  return found;
}

auto member_table::Live() const -> member_list {
  auto live = member_list{};
  for (const auto& [vm, row] : rows_) {
    if (IsLive(row.record)) {
      live.push_back(row.record);
    }
  }
  return live;
}

auto member_table::LiveMembersDigest(const member& self) const
    -> std::uint64_t {
  auto view = IncarnationHash(self.ref);
  for (const auto& [vm, row] : rows_) {
    if (IsLive(row.record)) {
      view ^= IncarnationHash(row.record.ref);
    }
  }
  return view;
}

}  // namespace daisywind::membership
