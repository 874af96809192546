#include "testing/migration_faults.h"

#include <cstddef>
#include <string>

namespace daisywind::testing {
namespace {

using migration::endpoint_role;

constexpr auto kAdvanceBound = duration{120s};
constexpr auto kAdvanceStep = duration{100ms};
constexpr auto kOtherVm = "vm-1";

auto AnyEngine(fake_move& move,
               const std::array<const char*, 3>& names,
               bool (*holds)(const fake_engine&)) -> bool {
  for (const auto* name : names) {
    if (holds(move.Engine(name))) {
      return true;
    }
  }
  return false;
}

constexpr auto kOld = std::array{"old-0", "old-1", "old-2"};
constexpr auto kNew = std::array{"new-0", "new-1", "new-2"};

auto HasReached(fake_move& move, move_step step) -> bool {
  switch (step) {
    case move_step::kPatched:
      return true;
    case move_step::kLoading:
      return AnyEngine(move, kNew, [](const fake_engine& engine) {
        return !engine.Report().loading.empty();
      });
    case move_step::kFirstReady:
      return AnyEngine(move, kNew, [](const fake_engine& engine) {
        return engine.Serves(model_id{"agent"});
      });
    case move_step::kFirstDraining:
      return AnyEngine(move, kOld, [](const fake_engine& engine) {
        return engine.Report().role != endpoint_role::kServing;
      });
    case move_step::kFirstEmpty:
      return AnyEngine(move, kOld, [](const fake_engine& engine) {
        return engine.IsEmpty();
      });
    case move_step::kFinished:
      return move.IsFinished();
  }
  return false;
}

constexpr auto kFaults = std::array{
    move_fault{"none", [](fake_move& /*move*/, std::string& /*memory*/) {},
               [](fake_move& /*move*/, const std::string& /*memory*/) {}},
    move_fault{"service down",
               [](fake_move& move, std::string& /*memory*/) {
                 move.lease.is_up = false;
               },
               [](fake_move& move, const std::string& /*memory*/) {
                 move.lease.is_up = true;
               }},
    move_fault{
        "service slow",
        [](fake_move& move, std::string& /*memory*/) { move.lease.delay = 4s; },
        [](fake_move& move, const std::string& /*memory*/) {
          move.lease.delay = 2ms;
        }},
    move_fault{"answers of the service lost",
               [](fake_move& move, std::string& /*memory*/) {
                 move.lease.loses_answers = true;
               },
               [](fake_move& move, const std::string& /*memory*/) {
                 move.lease.loses_answers = false;
               }},
    move_fault{"lease lapses while its holder is paused",
               [](fake_move& move, std::string& memory) {
                 memory = move.Holder();
                 move.Pause(memory);
               },
               [](fake_move& move, const std::string& memory) {
                 move.Resume(memory);
               }},
    move_fault{"lease holder dead",
               [](fake_move& move, std::string& memory) {
                 memory = move.Holder();
                 move.Kill(memory);
               },
               [](fake_move& move, const std::string& memory) {
                 move.Restart(memory);
               }},
    move_fault{
        "another VM paused",
        [](fake_move& move, std::string& /*memory*/) { move.Pause(kOtherVm); },
        [](fake_move& move, const std::string& /*memory*/) {
          move.Resume(kOtherVm);
        }},
    move_fault{"lease holder parted from the engines",
               [](fake_move& move, std::string& memory) {
                 memory = move.Holder();
                 move.cut_from_engines.insert(memory);
               },
               [](fake_move& move, const std::string& memory) {
                 move.cut_from_engines.erase(memory);
               }},
    move_fault{"lease holder parted from the service",
               [](fake_move& move, std::string& memory) {
                 memory = move.Holder();
                 move.lease.cut_off.insert(memory);
               },
               [](fake_move& move, const std::string& memory) {
                 move.lease.cut_off.erase(memory);
               }},
    move_fault{"orders lost",
               [](fake_move& move, std::string& /*memory*/) {
                 move.loses_orders = true;
               },
               [](fake_move& move, const std::string& /*memory*/) {
                 move.loses_orders = false;
               }},
    move_fault{"answers to orders lost",
               [](fake_move& move, std::string& /*memory*/) {
                 move.loses_order_answers = true;
               },
               [](fake_move& move, const std::string& /*memory*/) {
                 move.loses_order_answers = false;
               }},
    move_fault{"orders repeated late",
               [](fake_move& move, std::string& /*memory*/) {
                 move.repeats_orders_after = 20s;
               },
               [](fake_move& move, const std::string& /*memory*/) {
                 move.repeats_orders_after.reset();
               }},
    move_fault{
        "operators racing",
        [](fake_move& move, std::string& /*memory*/) { move.PatchToOld(); },
        [](fake_move& move, const std::string& /*memory*/) {
          move.PatchToNew();
        }},
    move_fault{"weight store away",
               [](fake_move& move, std::string& /*memory*/) {
                 move.store.is_up = false;
               },
               [](fake_move& move, const std::string& /*memory*/) {
                 move.store.is_up = true;
               }},
    move_fault{"VM of an old endpoint listed as leaving",
               [](fake_move& move, std::string& /*memory*/) {
                 move.ListAsLeaving({"old-1"});
               },
               [](fake_move& move, const std::string& /*memory*/) {
                 move.ListAsLeaving({});
               }},
    move_fault{"old engine restarted",
               [](fake_move& move, std::string& /*memory*/) {
                 move.RestartEngine("old-2");
               },
               [](fake_move& /*move*/, const std::string& /*memory*/) {}},
};

}  // namespace

auto MoveFaults() -> std::span<const move_fault> {
  return kFaults;
}

auto AdvanceTo(fake_move& move, move_step step) -> bool {
  const auto end = move.now() + kAdvanceBound;
  while (!HasReached(move, step)) {
    if (move.now() >= end) {
      return false;
    }
    move.Advance(kAdvanceStep);
  }
  return true;
}

auto ToString(move_step step) -> std::string_view {
  constexpr auto kNames = std::array<std::string_view, kMoveSteps.size()>{
      "patched",        "loading",     "first ready",
      "first draining", "first empty", "finished"};
  return kNames.at(static_cast<std::size_t>(step));
}

}  // namespace daisywind::testing
