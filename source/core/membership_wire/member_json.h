// JSON encoding of a member, as the key-value service holds it under the key of
// its VM.
#ifndef DAISYWIND_MEMBERSHIP_WIRE_MEMBER_JSON_H_
#define DAISYWIND_MEMBERSHIP_WIRE_MEMBER_JSON_H_

#include <optional>
#include <string>
#include <string_view>

#include "common/kv_types.h"
#include "membership/member.h"

namespace daisywind::membership {

inline constexpr auto kMemberPrefix = std::string_view("daisywind/members/");

auto MemberKey(const vm_id& vm) -> std::string;

auto RenderMember(const member& from) -> std::string;

// Returns nothing when the item is not a valid member: no JSON object, missing
// fields, an incarnation below one, an address that can't be connected to, or
// the key of another VM. An entry must not speak for another VM, which would
// stop if it found a newer incarnation of itself.
auto ParseMember(const kv::key_value& item) -> std::optional<member>;

}  // namespace daisywind::membership

#endif  // DAISYWIND_MEMBERSHIP_WIRE_MEMBER_JSON_H_
