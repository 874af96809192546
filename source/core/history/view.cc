#include "history/view.h"

#include <algorithm>
#include <utility>

namespace daisywind::history {
namespace {

auto Contains(const std::vector<vm_id>& list, const vm_id& vm) -> bool {
  return std::find(list.begin(), list.end(), vm) != list.end();
}

// The member whose seat the VM takes: one that retires first, then one that is
// out of reach.
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

}  // namespace

auto view::Find(const vm_id& vm) const -> const member* {
  const auto found =
      std::find_if(members.begin(), members.end(),
                   [&](const member& item) { return item.vm == vm; });
  return found == members.end() ? nullptr : &*found;
}

auto QuorumSizes(const view& members, std::size_t tolerated) -> quorum_sizes {
  const auto count = members.members.size();
  const auto write = std::min(tolerated + 1, std::max<std::size_t>(count, 1));
  const auto read = count >= write ? count - write + 1 : 1;
  return {write, read};
}

auto MaxMembers(std::size_t tolerated) -> std::size_t {
  return 2 * tolerated + 1;
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
  if (next.members.size() < MaxMembers(inputs.tolerated)) {
    next.members.push_back(inputs.self);
    return next;
  }
  const auto seat = FindReplaceable(inputs);
  if (!seat) {
    return std::nullopt;
  }
  next.members[*seat] = inputs.self;
  return next;
}

auto ViewWithout(const view& current, const vm_id& vm) -> std::optional<view> {
  if (current.Find(vm) == nullptr || current.members.size() == 1) {
    return std::nullopt;
  }
  auto next = current;
  ++next.number;
  std::erase_if(next.members,
                [&](const member& item) { return item.vm == vm; });
  return next;
}

}  // namespace daisywind::history
