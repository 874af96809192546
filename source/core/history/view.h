// Membership of the VMs that store facts, and the rules for changing it.
#ifndef DAISYWIND_HISTORY_VIEW_H_
#define DAISYWIND_HISTORY_VIEW_H_

#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "history/types.h"

namespace daisywind::history {

// A VM and the disk on which it stores facts.
struct member {
  vm_id vm;
  disk_id disk;
  // Address for requests, as "ip:port".
  std::string address;
  failure_domain_id failure_domain;
  region_id region;

  auto operator<=>(const member&) const = default;
};

// The current members. A view with a higher number replaces one with a lower
// number.
struct view {
  view_number number = 0;
  std::vector<member> members;

  auto operator<=>(const view&) const = default;

  [[nodiscard]] auto Find(const vm_id& vm) const -> const member*;
};

// Numbers of members that a write and a read need, so that one copy survives
// the loss of any `tolerated_losses` disks and every read quorum intersects
// every write quorum.
struct quorum_sizes {
  std::size_t write = 1;
  std::size_t read = 1;

  auto operator<=>(const quorum_sizes&) const = default;
};

// Returns the quorum sizes for a view. If the view has fewer members than a
// write needs, a write goes to all of them.
auto QuorumSizes(const view& members, std::size_t tolerated_losses)
    -> quorum_sizes;

// Maximum number of members in a view.
auto MaxMembers(std::size_t tolerated_losses) -> std::size_t;

// What a VM with a disk knows when it considers joining the view.
struct join_inputs {
  view current;
  member self;
  std::size_t tolerated_losses = 0;
  // Members that have been unreachable for longer than the replacement
  // time-out.
  std::vector<vm_id> unreachable;
  // Members whose facts an operator wants moved to other VMs.
  std::vector<vm_id> retiring;
  // Members that answer and whose replicas are complete.
  std::vector<vm_id> complete;
};

// Number of complete members that a new replica has to copy from, so that every
// fact of a view with so many members is on one of them.
auto SourcesNeeded(std::size_t members, std::size_t tolerated_losses)
    -> std::size_t;

// Returns the next view, in which the VM is a member, or nothing when it is one
// already or cannot join. A changed address of a member counts as a change. The
// VM joins, or replaces another member, only if the facts can be copied at
// once: a view with too few complete replicas could never make another.
auto ViewWithSelf(const join_inputs& inputs) -> std::optional<view>;

// Returns the view without one member, or nothing when the VM is no member or
// when fewer disks would remain than a write needs.
auto ViewWithout(const view& current,
                 const vm_id& vm,
                 std::size_t tolerated_losses) -> std::optional<view>;

// Returns the hashes of facts that appear in fewer than `copies` of the
// members' lists, where a write needs that many members. These facts lack
// copies.
auto UnderReplicated(const std::vector<std::vector<std::uint64_t>>& lists,
                     std::size_t copies) -> std::vector<std::uint64_t>;

// Returns for each of some members, in the order of their lists, the facts to
// ask it for, so that a new replica gets those that appear in fewer than
// `copies` of the lists. Each comes from the first member that has it, and none
// that is in `own`.
auto PlanPulls(const std::vector<std::uint64_t>& own,
               const std::vector<std::vector<std::uint64_t>>& lists,
               std::size_t copies) -> std::vector<std::vector<std::uint64_t>>;

// Returns for each of some members, in the order of their lists, the facts to
// send to it, so that every own fact is on at least `copies` of them. A fact is
// sent to no more members than necessary, and different facts go to different
// members.
auto PlanCopies(const std::vector<std::uint64_t>& own,
                const std::vector<std::vector<std::uint64_t>>& lists,
                std::size_t copies) -> std::vector<std::vector<std::uint64_t>>;

}  // namespace daisywind::history

#endif  // DAISYWIND_HISTORY_VIEW_H_
