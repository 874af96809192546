// Placement of program replicas on VMs by rendezvous hashing.
#ifndef DAISYWIND_PROGRAM_PLACEMENT_H_
#define DAISYWIND_PROGRAM_PLACEMENT_H_

#include <cstddef>
#include <vector>

#include "program/types.h"

namespace daisywind::program {

// The live VMs known to this VM, sorted by vm_ref.
struct member_table {
  std::vector<member> members;

  auto operator<=>(const member_table&) const = default;
};

// Builds a table from members in any order.
auto MakeMemberTable(std::vector<member> members) -> member_table;

// Finds a member; null when it is not live.
auto FindMember(const member_table& table, const vm_ref& vm) -> const member*;

// The members in the rendezvous-hash order of the program.
auto RankMembers(const program_id& program, const member_table& table)
    -> std::vector<member>;

// Chooses a VM for a new witness. Prefers another failure domain than the
// owner's and, among equals, the owner's region. Skips leaving VMs. Returns an
// empty reference when no VM is left besides the excluded ones.
auto ChooseWitness(const program_id& program,
                   const member_table& table,
                   const vm_ref& owner,
                   const std::vector<vm_ref>& excluded) -> vm_ref;

// Chooses a VM for a new arbiter. Prefers a failure domain of neither the owner
// nor the witness. Skips leaving VMs and may return an empty reference, as
// ChooseWitness does.
auto ChooseArbiter(const program_id& program,
                   const member_table& table,
                   const vm_ref& owner,
                   const vm_ref& witness,
                   const std::vector<vm_ref>& excluded) -> vm_ref;

// The VMs to ask for the current replica set of a program: in each region, the
// first four in the program's rendezvous-hash order.
auto LocateCandidates(const program_id& program, const member_table& table)
    -> std::vector<vm_ref>;

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_PLACEMENT_H_
