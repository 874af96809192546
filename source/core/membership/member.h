// Membership record of one entry VM.
#ifndef DAISYWIND_MEMBERSHIP_MEMBER_H_
#define DAISYWIND_MEMBERSHIP_MEMBER_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/ids.h"

namespace daisywind::membership {

// State of a member as seen by some VM. The order matters: of two records with
// the same incarnation and refutation number, the one with the greater state
// wins.
enum class member_state : std::uint8_t { kAlive, kSuspect, kDead, kLeft };

// Record of one incarnation of an entry VM's process. Only the member itself
// increments its refutation number, to refute a suspicion. (The SWIM paper
// calls the refutation number the incarnation number; here an incarnation is
// one run of the process.)
struct member {
  vm_ref ref;
  std::uint64_t refutation = 0;
  member_state state = member_state::kAlive;
  // Address of the member's peer-to-peer server, as "ip:port".
  std::string address;
  failure_domain_id failure_domain;
  region_id region;

  auto operator<=>(const member&) const = default;
};

using member_list = std::vector<member>;

// Whether `record` overrides `known`, another record of the same VM. Compares
// the incarnation first, then the refutation number, then the state.
auto Supersedes(const member& record, const member& known) -> bool;

// Whether the member can be given work: it is alive or only suspected.
auto IsLive(const member& record) -> bool;

// Name of a state for log lines and the admin API.
auto ToString(member_state state) -> std::string_view;

}  // namespace daisywind::membership

#endif  // DAISYWIND_MEMBERSHIP_MEMBER_H_
