#include "membership/member.h"

#include <doctest/doctest.h>

#include <array>

namespace daisywind::membership {
namespace {

auto Record(incarnation run, std::uint64_t refutation, member_state state)
    -> member {
  auto record = member{};
  record.ref = vm_ref{vm_id{"a"}, run};
  record.refutation = refutation;
  record.state = state;
  return record;
}

}  // namespace

TEST_CASE("a newer incarnation overrides any state of an older one") {
  CHECK(Supersedes(Record(2, 0, member_state::kAlive),
                   Record(1, 9, member_state::kLeft)));
  CHECK_FALSE(Supersedes(Record(1, 9, member_state::kDead),
                         Record(2, 0, member_state::kAlive)));
}

TEST_CASE("a refutation overrides failure reports with a lower number") {
  CHECK(Supersedes(Record(1, 1, member_state::kAlive),
                   Record(1, 0, member_state::kDead)));
  CHECK_FALSE(Supersedes(Record(1, 1, member_state::kAlive),
                         Record(1, 1, member_state::kSuspect)));
}

TEST_CASE("of two records with different states one overrides the other") {
  constexpr auto kStates =
      std::array{member_state::kAlive, member_state::kSuspect,
                 member_state::kDead, member_state::kLeft};
  for (const auto a : kStates) {
    for (const auto b : kStates) {
      CHECK((Supersedes(Record(1, 0, a), Record(1, 0, b)) ||
             Supersedes(Record(1, 0, b), Record(1, 0, a))) == (a != b));
    }
  }
}

}  // namespace daisywind::membership
