#include "program/types.h"

#include <doctest/doctest.h>

namespace daisywind::program {

TEST_CASE("a handle can be parsed from its text form") {
  const auto handle = program_handle{
      program_id{1, 2},
      replica_set{7, vm_ref{vm_id{"a"}, 3}, vm_ref{vm_id{"b"}, 4}, vm_ref{}}};
  CHECK(ToString(handle) == "00000000000000010000000000000002.7.a@3.b@4.-");
  CHECK(ParseHandle(ToString(handle)) == handle);
}

TEST_CASE("invalid handle texts are rejected") {
  for (const auto* text :
       {"", ".", "00000000000000010000000000000002.7.a@3.b@4",
        "00000000000000010000000000000002.7.a@3.b@4.-.-",
        "00000000000000010000000000000002.x.a@3.b@4.-",
        "00000000000000010000000000000002.7.-.b@4.-",
        "00000000000000010000000000000002.7.a@.b@4.-",
        "00000000000000010000000000000002.7.@3.b@4.-",
        "0000000000000001000000000000000g.7.a@3.b@4.-"}) {
    CHECK_FALSE(ParseHandle(text));
  }
}

TEST_CASE("the majority counts only present members") {
  auto set = replica_set{1, vm_ref{vm_id{"a"}, 1}, {}, {}};
  CHECK(MajorityOf(set) == 1);
  set.witness = vm_ref{vm_id{"b"}, 1};
  CHECK(MajorityOf(set) == 2);
  set.arbiter = vm_ref{vm_id{"c"}, 1};
  CHECK(MajorityOf(set) == 2);
}

TEST_CASE("reasons have the expected names and statuses") {
  CHECK(NameOf(refusal_reason::kBadRequest) == "bad_request");
  CHECK(NameOf(refusal_reason::kPreviousInDoubt) == "previous_in_doubt");
  CHECK(NameOf(refusal_reason::kOverloaded) == "overloaded");
  CHECK(StatusOf(refusal_reason::kOverloaded) == 429);
}

}  // namespace daisywind::program
