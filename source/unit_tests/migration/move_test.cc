#include <doctest/doctest.h>

#include "testing/fake_migration.h"

namespace daisywind::migration {
namespace {

using testing::fake_migration;

constexpr auto kSettleTime = duration{20s};
constexpr auto kMoveTime = duration{90s};

}  // namespace

TEST_CASE("a migration without faults empties the old endpoints") {
  auto move = fake_migration{{}, 1};
  move.Advance(kSettleTime);
  CHECK(move.IsFinished());
  move.PatchToNew();
  move.Advance(kMoveTime);
  CHECK(move.IsFinished());
  CHECK(move.checker().violations().empty());
  for (const auto* vm : {"vm-0", "vm-1", "vm-2"}) {
    const auto progress = move.Progress(vm);
    CHECK(progress.is_evacuation_complete);
    CHECK(progress.percent == 100);
    CHECK_FALSE(progress.is_overdue);
  }
}

TEST_CASE("a patch during a migration reverses it") {
  for (auto middle = duration{1s}; middle < 30s; middle += 1s) {
    CAPTURE(middle.count());
    auto move = fake_migration{{}, 2};
    move.Advance(kSettleTime);
    move.PatchToNew();
    move.Advance(middle);
    move.PatchToOld();
    move.Advance(kMoveTime);
    CHECK(move.IsFinished());
    CHECK(move.checker().violations().empty());
    CHECK(move.Progress("vm-1").is_evacuation_complete);
  }
}

TEST_CASE(
    "the old endpoints keep serving while the weight store is unavailable") {
  auto move = fake_migration{{}, 3};
  move.Advance(kSettleTime);
  move.store.is_up = false;
  move.PatchToNew();
  move.Advance(std::chrono::minutes{30});
  CHECK(move.checker().violations().empty());
  const auto progress = move.Progress(move.LeaseHolder());
  CHECK_FALSE(progress.is_evacuation_complete);
  const auto& old = progress.endpoints.back();
  CHECK(old.endpoint == endpoint_id{"old-2"});
  CHECK(old.phase == endpoint_phase::kRetained);
  CHECK(old.held_up_by == "agent: 0 of 2 needed are ready");
  move.store.is_up = true;
  move.Advance(kMoveTime);
  CHECK(move.IsFinished());
}

TEST_CASE("a migration past its deadline is shown as overdue and continues") {
  auto move = fake_migration{{}, 4};
  move.Advance(kSettleTime);
  move.store.is_up = false;
  move.PatchToNew();
  move.Advance(std::chrono::minutes{61});
  CHECK(move.Progress(move.LeaseHolder()).is_overdue);
  move.store.is_up = true;
  move.Advance(kMoveTime);
  CHECK(move.IsFinished());
  CHECK_FALSE(move.Progress(move.LeaseHolder()).is_overdue);
}

TEST_CASE("no order is sent once the migration is complete") {
  auto move = fake_migration{{}, 5};
  move.Advance(kSettleTime);
  move.PatchToNew();
  move.Advance(kMoveTime);
  const auto orders = move.order_count();
  move.Advance(std::chrono::minutes{10});
  CHECK(move.order_count() == orders);
}

}  // namespace daisywind::migration
