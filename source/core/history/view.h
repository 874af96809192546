// The set of VMs that hold facts, and when it may change.
#ifndef DAISYWIND_HISTORY_VIEW_H_
#define DAISYWIND_HISTORY_VIEW_H_

#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "history/types.h"

namespace daisywind::history {

// One VM's disk that holds facts.
struct member {
  vm_id vm;
  disk_id disk;
  // Where it takes requests, as "ip:port".
  std::string address;
  failure_domain_id failure_domain;
  region_id region;

  auto operator<=>(const member&) const = default;
};

// The members in force. A higher number replaces a lower one.
struct view {
  view_number number = 0;
  std::vector<member> members;

  auto operator<=>(const view&) const = default;

  [[nodiscard]] auto Find(const vm_id& vm) const -> const member*;
};

// Members needed so that any loss of `tolerated` disks leaves one copy, and so
// that writes and reads meet.
struct quorum_sizes {
  std::size_t write = 1;
  std::size_t read = 1;

  auto operator<=>(const quorum_sizes&) const = default;
};

// The sizes for a view. A view of fewer members than a write needs writes to
// all of them.
auto QuorumSizes(const view& members, std::size_t tolerated) -> quorum_sizes;

// The most members that a view has.
auto MaxMembers(std::size_t tolerated) -> std::size_t;

// What a VM with a disk knows when it considers taking a seat.
struct join_inputs {
  view current;
  member self;
  std::size_t tolerated = 0;
  // Members that have been unreachable for the replacement bound.
  std::vector<vm_id> unreachable;
  // Members that an operator wants emptied.
  std::vector<vm_id> retiring;
};

// The view in which the VM has a seat, or nothing when there is none for it or
// it has it already. A changed address of a member counts as a change.
auto ViewWithSelf(const join_inputs& inputs) -> std::optional<view>;

// The view without one member, or nothing when it is none.
auto ViewWithout(const view& current, const vm_id& vm) -> std::optional<view>;

}  // namespace daisywind::history

#endif  // DAISYWIND_HISTORY_VIEW_H_
