#include "membership/member.h"

#include <array>
#include <cstddef>
#include <tuple>

namespace daisywind::membership {

auto Supersedes(const member& record, const member& known) -> bool {
  return std::tie(record.ref.run, record.refutation, record.state) >
         std::tie(known.ref.run, known.refutation, known.state);
}

auto IsLive(const member& record) -> bool {
  return record.state == member_state::kAlive ||
         record.state == member_state::kSuspect;
}

auto ToString(member_state state) -> std::string_view {
  constexpr auto kNames =
      std::array<std::string_view, 4>{"alive", "suspect", "dead", "left"};
  return kNames.at(static_cast<std::size_t>(state));
}

}  // namespace daisywind::membership
