// Checks that the migration checker detects defects injected on purpose. If it
// did not, the fault tests would pass without proving anything.
#include <doctest/doctest.h>

#include <string>

#include "testing/fake_migration.h"
#include "testing/migration_faults.h"

namespace daisywind::migration {
namespace {

using testing::fake_migration;
using testing::planted_bugs;
using testing::violation;

constexpr auto kSettleTime = duration{20s};
constexpr auto kMoveTime = duration{90s};

auto IsDetected(const fake_migration& move, violation kind) -> bool {
  return move.checker().violations().contains(kind);
}

}  // namespace

TEST_CASE("the checker detects orders sent after the lease has ended") {
  auto bugs = planted_bugs{};
  bugs.ignores_lease_end = true;
  auto move = fake_migration{{}, 1, bugs};
  move.Advance(kSettleTime);
  move.lease.unreachable_from.insert(move.LeaseHolder());
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
  auto move = fake_migration{{}, 2, bugs};
  move.Advance(kSettleTime);
  move.PatchToNew();
  move.Advance(kMoveTime);
  CHECK(IsDetected(move, violation::kBelowNeed));
}

TEST_CASE(
    "the checker detects an outdated report taken as proof of emptiness") {
  auto bugs = planted_bugs{};
  bugs.trusts_outdated_reports = true;
  auto move = fake_migration{{}, 3, bugs};
  move.Advance(kSettleTime);
  move.PatchToNew();
  move.Advance(kMoveTime);
  move.PatchToOld();
  move.Advance(kMoveTime);
  move.PatchToNew();
  move.Advance(kMoveTime);
  CHECK(IsDetected(move, violation::kFalseEvacuationReport));
}

TEST_CASE("the checker detects new work for a VM that is listed as leaving") {
  auto bugs = planted_bugs{};
  bugs.ignores_vm_list = true;
  auto move = fake_migration{{}, 4, bugs};
  move.Advance(kSettleTime);
  move.ListAsLeaving({"old-1"});
  move.Advance(kMoveTime);
  CHECK(IsDetected(move, violation::kRequestToLeaving));
}

TEST_CASE("the checker detects unloading while requests are running") {
  auto bugs = planted_bugs{};
  bugs.reports_no_running_work = true;
  auto move = fake_migration{{}, 5, bugs};
  move.Advance(kSettleTime);
  move.PatchToNew();
  move.Advance(kMoveTime);
  CHECK(IsDetected(move, violation::kRequestAborted));
}

TEST_CASE(
    "the checker detects a fencing engine that follows an older reconciler") {
  auto checker = testing::migration_checker{};
  checker.OnFencedOrder("new-0", 5);
  checker.OnFencedOrder("new-0", 5);
  CHECK(checker.violations().empty());
  checker.OnFencedOrder("new-0", 4);
  CHECK(checker.violations().contains(violation::kFenceRegressed));
}

}  // namespace daisywind::migration
