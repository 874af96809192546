// Checks that the migration checker detects defects injected on purpose. If it
// did not, the fault tests would pass without proving anything.
#include <doctest/doctest.h>

#include <string>

#include "testing/fake_migration.h"
#include "testing/migration_faults.h"

namespace daisywind::migration {
namespace {

using testing::fake_move;
using testing::planted_bugs;
using testing::violation;

constexpr auto kSettleTime = duration{20s};
constexpr auto kMoveTime = duration{90s};

auto IsDetected(const fake_move& move, violation kind) -> bool {
  return move.checker().violations().contains(kind);
}

}  // namespace

TEST_CASE("the checker detects orders sent after the lease has ended") {
  auto bugs = planted_bugs{};
  bugs.ignores_lease_end = true;
  auto move = fake_move{{}, 1, bugs};
  move.Advance(kSettleTime);
  move.lease.cut_off.insert(move.Holder());
  for (auto i = 0; i < 4; ++i) {
    move.PatchToNew();
    move.Advance(15s);
    move.PatchToOld();
    move.Advance(15s);
  }
  CHECK(IsDetected(move, violation::kOrderWithoutLease));
}

TEST_CASE("the checker detects unloading before replacements are loaded") {
  auto bugs = planted_bugs{};
  bugs.ignores_need = true;
  auto move = fake_move{{}, 2, bugs};
  move.Advance(kSettleTime);
  move.PatchToNew();
  move.Advance(kMoveTime);
  CHECK(IsDetected(move, violation::kUnderNeed));
}

TEST_CASE(
    "the checker detects an outdated report taken as proof of emptiness") {
  auto bugs = planted_bugs{};
  bugs.trusts_old_reports = true;
  auto move = fake_move{{}, 3, bugs};
  move.Advance(kSettleTime);
  move.PatchToNew();
  move.Advance(kMoveTime);
  move.PatchToOld();
  move.Advance(kMoveTime);
  move.PatchToNew();
  move.Advance(kMoveTime);
  CHECK(IsDetected(move, violation::kFalseProofOfEmpty));
}

TEST_CASE("the checker detects new work for a VM that is listed as leaving") {
  auto bugs = planted_bugs{};
  bugs.ignores_vm_list = true;
  auto move = fake_move{{}, 4, bugs};
  move.Advance(kSettleTime);
  move.ListAsLeaving({"old-1"});
  move.Advance(kMoveTime);
  CHECK(IsDetected(move, violation::kWorkToLeaving));
}

TEST_CASE("the checker detects unloading while requests are running") {
  auto bugs = planted_bugs{};
  bugs.reports_no_running_work = true;
  auto move = fake_move{{}, 5, bugs};
  move.Advance(kSettleTime);
  move.PatchToNew();
  move.Advance(kMoveTime);
  CHECK(IsDetected(move, violation::kWorkCut));
}

TEST_CASE(
    "the checker detects a fencing engine that follows an older reconciler") {
  auto checker = testing::move_checker{};
  checker.OnFence("new-0", 5);
  checker.OnFence("new-0", 5);
  CHECK(checker.violations().empty());
  checker.OnFence("new-0", 4);
  CHECK(checker.violations().contains(violation::kFenceReverted));
}

}  // namespace daisywind::migration
