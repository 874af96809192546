// A whole move in one process: several entry VMs with their migration systems,
// fake engines, and a fake key-value service for the lease, under an injected
// clock and with faults.
#ifndef DAISYWIND_TESTING_FAKE_MIGRATION_H_
#define DAISYWIND_TESTING_FAKE_MIGRATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/random.h"
#include "common/time.h"
#include "migration/migration_system.h"
#include "testing/fake_engine.h"
#include "testing/fake_lease_service.h"
#include "testing/migration_checker.h"

namespace daisywind::testing {

// Defects that can be planted to show that the checker sees them.
struct planted_bugs {
  bool ignores_lease_end = false;
  bool ignores_need = false;
  bool trusts_old_reports = false;
  bool ignores_vm_list = false;
  bool reports_no_running_work = false;

  auto operator<=>(const planted_bugs&) const = default;
};

// Sizes of a move.
struct move_shape {
  int vms = 3;
  int old_endpoints = 3;
  int new_endpoints = 3;
  std::uint32_t need = 2;
  bool has_work = true;
  duration longest_work = 8s;
};

class fake_move {
 public:
  fake_move(move_shape shape, std::uint64_t seed, planted_bugs bugs = {});

  // Patches: the new building serves, or the old one again.
  auto PatchToNew() -> void { Patch(true); }
  auto PatchToOld() -> void { Patch(false); }

  auto Advance(duration time) -> void;

  // Faults.
  auto Kill(const std::string& vm) -> void;
  auto Restart(const std::string& vm) -> void;
  auto Pause(const std::string& vm) -> void;
  auto Resume(const std::string& vm) -> void;
  auto RestartEngine(const std::string& endpoint) -> void;
  auto ListAsLeaving(const std::set<std::string>& endpoints) -> void;

  // The VM that holds the lease, or the first when none does.
  [[nodiscard]] auto Holder() const -> std::string;

  fake_lease_service lease;
  fake_weight_store store;
  // VMs that do not reach the engines.
  std::set<std::string> cut_from_engines;
  bool loses_orders = false;
  bool loses_order_answers = false;
  // Orders are delivered a second time after this long.
  std::optional<duration> repeats_orders_after;

  [[nodiscard]] auto Engine(const std::string& endpoint) -> fake_engine& {
    return engines_.at(endpoint);
  }
  [[nodiscard]] auto Progress(const std::string& vm) const
      -> migration::migration_progress;
  [[nodiscard]] auto IsFinished() const -> bool;
  [[nodiscard]] auto checker() const -> const move_checker& { return checker_; }
  [[nodiscard]] auto now() const -> instant { return now_; }
  [[nodiscard]] auto order_count() const -> std::uint64_t {
    return order_count_;
  }
  [[nodiscard]] auto read_count() const -> std::uint64_t { return read_count_; }

 private:
  struct controller {
    migration::migration_system system{migration::migration_options{}};
    std::uint64_t start = 0;
    bool is_up = true;
    bool is_paused = false;
    std::vector<migration::event> queued;
    std::map<std::string, bool> is_open;
    // Reports kept by the planted bug.
    std::map<std::string, migration::engine_report> old_reports;
  };

  auto Patch(bool to_new) -> void;
  auto Start(const std::string& vm) -> void;
  auto After(duration delay, std::function<void()> action) -> void;
  auto Notify(const std::string& vm,
              std::uint64_t start,
              duration delay,
              migration::event input) -> void;
  auto Execute(const std::string& vm,
               const std::vector<migration::command>& commands) -> void;
  auto Do(const std::string& vm, const migration::acquire_lease& item) -> void;
  auto Do(const std::string& vm, const migration::renew_lease& item) -> void;
  auto Do(const std::string& vm, const migration::release_lease& item) -> void;
  auto Do(const std::string& vm, const migration::send_order& item) -> void;
  auto Do(const std::string& vm, const migration::read_state& item) -> void;
  auto Do(const std::string& vm, const migration::routing_state& item) -> void;
  auto Do(const std::string& vm, const migration::release_sessions& item)
      -> void;
  auto DeliverOrder(const migration::send_order& item, bool is_late)
      -> migration::order_outcome;
  auto SendWork() -> void;
  auto Check() -> void;
  // VMs that hold the old building for empty.
  [[nodiscard]] auto ClaimsOfEmpty() const -> std::set<std::string>;
  // Hands on what the service says about the lease.
  auto AnswerLease(const std::string& vm, migration::event answer) -> void;

  move_shape shape_;
  random_source random_;
  planted_bugs bugs_;
  instant now_{};
  std::uint64_t last_start_ = 0;
  std::map<std::string, controller> vms_;
  std::map<std::string, fake_engine> engines_;
  std::multimap<instant, std::function<void()>> actions_;
  migration::wanted_state wanted_;
  instant accepted_at_{};
  migration::vm_list listed_;
  // Since when every VM can know that the new endpoints have taken over.
  std::optional<instant> replaced_since_;
  // Endpoints that served when a fault took them, until they serve again.
  std::set<std::string> taken_by_faults_;
  std::set<std::string> claims_;
  move_checker checker_;
  std::uint64_t order_count_ = 0;
  std::uint64_t read_count_ = 0;
};

}  // namespace daisywind::testing

#endif  // DAISYWIND_TESTING_FAKE_MIGRATION_H_
