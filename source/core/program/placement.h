// Placement of replicas by rendezvous hashing.
#ifndef DAISYWIND_PROGRAM_PLACEMENT_H_
#define DAISYWIND_PROGRAM_PLACEMENT_H_

#include <cstddef>
#include <vector>

#include "program/types.h"

namespace daisywind::program {

// The live VMs as one VM knows them, ordered by their references.
struct member_table {
  std::vector<member> members;

  auto operator<=>(const member_table&) const = default;
};

// Orders members for the table.
auto MakeMemberTable(std::vector<member> members) -> member_table;

// The member, or null when it is not live.
auto FindMember(const member_table& table, const vm_ref& vm) -> const member*;

// The members in the program's rendezvous order.
auto RankMembers(const program_id& program, const member_table& table)
    -> std::vector<member>;

// A VM for a new witness: in the owner's region but another failure domain when
// there is one. Returns an empty reference when there is no VM besides those
// that are excluded.
auto ChooseWitness(const program_id& program,
                   const member_table& table,
                   const vm_ref& owner,
                   const std::vector<vm_ref>& excluded) -> vm_ref;

// A VM for a new arbiter: in a failure domain of neither owner nor witness when
// there is one.
auto ChooseArbiter(const program_id& program,
                   const member_table& table,
                   const vm_ref& owner,
                   const vm_ref& witness,
                   const std::vector<vm_ref>& excluded) -> vm_ref;

// The VMs to ask for a program whose handle is out of date: the first of the
// program's order in each region.
auto LocateCandidates(const program_id& program, const member_table& table)
    -> std::vector<vm_ref>;

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_PLACEMENT_H_
