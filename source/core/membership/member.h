// What is known of one entry VM.
#ifndef DAISYWIND_MEMBERSHIP_MEMBER_H_
#define DAISYWIND_MEMBERSHIP_MEMBER_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/ids.h"

namespace daisywind::membership {

// How a member is seen. The order matters: of two records with the same run
// and refutation number the greater state prevails.
enum class member_state : std::uint8_t { kAlive, kSuspect, kDead, kLeft };

// One run of an entry VM's process, as seen by somebody. Only the member itself
// raises its refutation number, to contradict a suspicion.
struct member {
  vm_ref ref;
  std::uint64_t refutation = 0;
  member_state state = member_state::kAlive;
  // IP number and port of the member's link to its peers.
  std::string address;
  failure_domain_id failure_domain;
  region_id region;

  auto operator<=>(const member&) const = default;
};

using member_list = std::vector<member>;

// Whether a record supersedes another one of the same VM: a newer run first,
// then the greater refutation number, then the greater state.
auto Supersedes(const member& record, const member& known) -> bool;

// Whether work may be given to the member: alive or merely suspected.
auto IsLive(const member& record) -> bool;

// The name of a state, for logs and operators.
auto ToString(member_state state) -> std::string_view;

}  // namespace daisywind::membership

#endif  // DAISYWIND_MEMBERSHIP_MEMBER_H_
