#include "history/view.h"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace daisywind::history {
namespace {

auto Contains(const std::vector<vm_id>& list, const vm_id& vm) -> bool {
  return std::find(list.begin(), list.end(), vm) != list.end();
}

// Index of the member that the VM replaces: a retiring one first, then an
// unreachable one.
auto FindReplaceable(const join_inputs& inputs) -> std::optional<std::size_t> {
  const auto& members = inputs.current.members;
  for (const auto* list : {&inputs.retiring, &inputs.unreachable}) {
    for (auto i = std::size_t{0}; i < members.size(); ++i) {
      if (Contains(*list, members[i].vm)) {
        return i;
      }
    }
  }
  return std::nullopt;
}

// Number of complete members other than the given one.
auto CountOtherComplete(const join_inputs& inputs, const vm_id& replaced)
    -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      inputs.current.members.begin(), inputs.current.members.end(),
      [&](const member& item) {
        return item.vm != replaced && Contains(inputs.complete, item.vm);
      }));
}

}  // namespace

auto SourcesNeeded(std::size_t members, std::size_t tolerated_losses)
    -> std::size_t {
  const auto write = tolerated_losses + 1;
  return members + 1 > write ? members + 1 - write : 1;
}

auto view::Find(const vm_id& vm) const -> const member* {
  const auto found =
      std::find_if(members.begin(), members.end(),
                   [&](const member& item) { return item.vm == vm; });
  return found == members.end() ? nullptr : &*found;
}

auto QuorumSizes(const view& members, std::size_t tolerated_losses)
    -> quorum_sizes {
  const auto count = members.members.size();
  const auto write =
      std::min(tolerated_losses + 1, std::max<std::size_t>(count, 1));
  // A member has left a smaller view, perhaps before its facts were copied to
  // others: some facts may then be on only one of the remaining members.
  const auto is_full = count >= MaxMembers(tolerated_losses);
  return {write, is_full ? count - write + 1 : std::max<std::size_t>(count, 1)};
}

auto MaxMembers(std::size_t tolerated_losses) -> std::size_t {
  return 2 * tolerated_losses + 1;
}

auto ViewWithSelf(const join_inputs& inputs) -> std::optional<view> {
  if (Contains(inputs.retiring, inputs.self.vm)) {
    return std::nullopt;
  }
  auto next = inputs.current;
  ++next.number;
  for (auto& item : next.members) {
    if (item.vm == inputs.self.vm) {
      if (item == inputs.self) {
        return std::nullopt;
      }
      item = inputs.self;
      return next;
    }
  }
  const auto count = next.members.size();
  if (count < MaxMembers(inputs.tolerated_losses)) {
    if (CountOtherComplete(inputs, inputs.self.vm) < count) {
      return std::nullopt;
    }
    next.members.push_back(inputs.self);
    return next;
  }
  const auto replaced = FindReplaceable(inputs);
  if (!replaced || CountOtherComplete(inputs, next.members[*replaced].vm) <
                       SourcesNeeded(count, inputs.tolerated_losses)) {
    return std::nullopt;
  }
  next.members[*replaced] = inputs.self;
  return next;
}

auto ViewWithout(const view& current,
                 const vm_id& vm,
                 std::size_t tolerated_losses) -> std::optional<view> {
  if (current.Find(vm) == nullptr ||
      current.members.size() <= tolerated_losses + 1) {
    return std::nullopt;
  }
  auto next = current;
  ++next.number;
  std::erase_if(next.members,
                [&](const member& item) { return item.vm == vm; });
  return next;
}

auto UnderReplicated(const std::vector<std::vector<std::uint64_t>>& lists,
                     std::size_t copies) -> std::vector<std::uint64_t> {
  auto counts = std::unordered_map<std::uint64_t, std::size_t>{};
  for (const auto& list : lists) {
    for (const auto hash : list) {
      ++counts[hash];
    }
  }
  auto missing = std::vector<std::uint64_t>{};
  for (const auto& [hash, count] : counts) {
    if (count < copies) {
      missing.push_back(hash);
    }
  }
  std::sort(missing.begin(), missing.end());
  return missing;
}

auto PlanPulls(const std::vector<std::uint64_t>& own,
               const std::vector<std::vector<std::uint64_t>>& lists,
               std::size_t copies) -> std::vector<std::vector<std::uint64_t>> {
  const auto missing = UnderReplicated(lists, copies);
  auto known = std::unordered_set<std::uint64_t>(own.begin(), own.end());
  auto planned = std::vector<std::vector<std::uint64_t>>(lists.size());
  for (auto i = std::size_t{0}; i < lists.size(); ++i) {
    for (const auto hash : lists[i]) {
      const auto is_missing =
          std::binary_search(missing.begin(), missing.end(), hash);
      if (is_missing && known.insert(hash).second) {
        planned[i].push_back(hash);
      }
    }
  }
  return planned;
}

auto PlanCopies(const std::vector<std::uint64_t>& own,
                const std::vector<std::vector<std::uint64_t>>& lists,
                std::size_t copies) -> std::vector<std::vector<std::uint64_t>> {
  auto known = std::vector<std::unordered_set<std::uint64_t>>{};
  for (const auto& list : lists) {
    known.emplace_back(list.begin(), list.end());
  }
  auto planned = std::vector<std::vector<std::uint64_t>>(lists.size());
  for (const auto hash : own) {
    auto lacking = std::vector<std::size_t>{};
    for (auto i = std::size_t{0}; i < known.size(); ++i) {
      if (!known[i].contains(hash)) {
        lacking.push_back(i);
      }
    }
    const auto having = lists.size() - lacking.size();
    const auto wanted = copies > having ? copies - having : 0;
    for (auto i = std::size_t{0}; i < std::min(wanted, lacking.size()); ++i) {
      planned[lacking[(hash + i) % lacking.size()]].push_back(hash);
    }
  }
  return planned;
}

}  // namespace daisywind::history
