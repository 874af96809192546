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

// Members needed so that any loss of `tolerated_losses` disks leaves one copy,
// and so that writes and reads meet.
struct quorum_sizes {
  std::size_t write = 1;
  std::size_t read = 1;

  auto operator<=>(const quorum_sizes&) const = default;
};

// The sizes for a view. A view of fewer members than a write needs writes to
// all of them.
auto QuorumSizes(const view& members, std::size_t tolerated_losses)
    -> quorum_sizes;

// The most members that a view has.
auto MaxMembers(std::size_t tolerated_losses) -> std::size_t;

// What a VM with a disk knows when it considers taking a seat.
struct join_inputs {
  view current;
  member self;
  std::size_t tolerated_losses = 0;
  // Members that have been unreachable for the replacement bound.
  std::vector<vm_id> unreachable;
  // Members that an operator wants emptied.
  std::vector<vm_id> retiring;
  // Members that answer and whose copies are complete.
  std::vector<vm_id> complete;
};

// Complete members from which a new copy has to be made, so that every fact of
// a view of so many members is on one of them.
auto SourcesNeeded(std::size_t members, std::size_t tolerated_losses)
    -> std::size_t;

// The view in which the VM has a seat, or nothing when there is none for it or
// it has it already. A changed address of a member counts as a change. A seat
// of another VM, or a further one, is taken only if the copy can be made at
// once: a view with too few complete copies could never make more.
auto ViewWithSelf(const join_inputs& inputs) -> std::optional<view>;

// The view without one member, or nothing when it is none or when fewer disks
// would stay than a write needs.
auto ViewWithout(const view& current,
                 const vm_id& vm,
                 std::size_t tolerated_losses) -> std::optional<view>;

// The hashes of facts that are on fewer members than a write needs, as far as
// the lists of some members show. Copies of them are missing.
auto UnderReplicated(const std::vector<std::vector<std::uint64_t>>& lists,
                     std::size_t copies) -> std::vector<std::uint64_t>;

// What each of some members still has to get, in their order, so that every
// fact of one's own is on at least so many of them. A fact goes to no more
// members than that takes, and different facts to different ones.
auto PlanCopies(const std::vector<std::uint64_t>& own,
                const std::vector<std::vector<std::uint64_t>>& lists,
                std::size_t copies) -> std::vector<std::vector<std::uint64_t>>;

}  // namespace daisywind::history

#endif  // DAISYWIND_HISTORY_VIEW_H_
