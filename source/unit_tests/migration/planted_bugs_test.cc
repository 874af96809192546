// The checker has to see defects that are planted on purpose: else its silence
// over the faults proves nothing.
#include <doctest/doctest.h>

#include <string>

#include "testing/fake_move.h"
#include "testing/move_faults.h"

namespace daisywind::migration {
namespace {

using testing::fake_move;
using testing::planted_bugs;
using testing::violation;

constexpr auto kSettle = duration{20s};
constexpr auto kMoveTime = duration{90s};

auto Caught(const fake_move& move, violation kind) -> bool {
  return move.checker().violations().contains(kind);
}

}  // namespace

TEST_CASE("a lease that is held beyond its end is caught") {
  auto bugs = planted_bugs{};
  bugs.ignores_lease_end = true;
  auto move = fake_move{{}, 1, bugs};
  move.Advance(kSettle);
  move.lease.cut_off.insert(move.Holder());
  for (auto i = 0; i < 4; ++i) {
    move.PatchToNew();
    move.Advance(15s);
    move.PatchToOld();
    move.Advance(15s);
  }
  CHECK(Caught(move, violation::kOrderWithoutLease));
}

TEST_CASE("unloading before the new is loaded is caught") {
  auto bugs = planted_bugs{};
  bugs.ignores_need = true;
  auto move = fake_move{{}, 2, bugs};
  move.Advance(kSettle);
  move.PatchToNew();
  move.Advance(kMoveTime);
  CHECK(Caught(move, violation::kUnderNeed));
}

TEST_CASE("an old report taken as a proof of emptiness is caught") {
  auto bugs = planted_bugs{};
  bugs.trusts_old_reports = true;
  auto move = fake_move{{}, 3, bugs};
  move.Advance(kSettle);
  move.PatchToNew();
  move.Advance(kMoveTime);
  move.PatchToOld();
  move.Advance(kMoveTime);
  move.PatchToNew();
  move.Advance(kMoveTime);
  CHECK(Caught(move, violation::kFalseProofOfEmpty));
}

TEST_CASE("new work for a VM that is listed as leaving is caught") {
  auto bugs = planted_bugs{};
  bugs.ignores_vm_list = true;
  auto move = fake_move{{}, 4, bugs};
  move.Advance(kSettle);
  move.ListAsLeaving({"old-1"});
  move.Advance(kMoveTime);
  CHECK(Caught(move, violation::kWorkToLeaving));
}

TEST_CASE("unloading under running work is caught") {
  auto bugs = planted_bugs{};
  bugs.reports_no_running_work = true;
  auto move = fake_move{{}, 5, bugs};
  move.Advance(kSettle);
  move.PatchToNew();
  move.Advance(kMoveTime);
  CHECK(Caught(move, violation::kWorkCut));
}

TEST_CASE("a checking engine that follows an older reconciler is caught") {
  auto checker = testing::move_checker{};
  checker.OnFence("new-0", 5);
  checker.OnFence("new-0", 5);
  CHECK(checker.violations().empty());
  checker.OnFence("new-0", 4);
  CHECK(checker.violations().contains(violation::kFenceReverted));
}

}  // namespace daisywind::migration
