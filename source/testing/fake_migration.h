// Simulates a migration between two sites in one process: entry VMs with their
// migration systems, fake engines and a fake lease service, with a simulated
// clock and fault injection.
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

// Defects injected to verify that the checker detects them.
struct planted_bugs {
  bool ignores_lease_end = false;
  bool ignores_need = false;
  bool trusts_outdated_reports = false;
  bool ignores_vm_list = false;
  bool reports_no_running_work = false;

  auto operator<=>(const planted_bugs&) const = default;
};

// Size and load of the simulated system. `need` is the number of endpoints that
// must serve at any time.
struct migration_setup {
  int vms = 3;
  int old_endpoints = 3;
  int new_endpoints = 3;
  std::uint32_t need = 2;
  bool sends_requests = true;
  duration max_request_duration = 8s;
};

class fake_migration {
 public:
  fake_migration(migration_setup setup,
                 std::uint64_t seed,
                 planted_bugs bugs = {});

  // Accepts a configuration in which the new endpoints serve and the old ones
  // become empty, or the reverse.
  auto PatchToNew() -> void { Patch(true); }
  auto PatchToOld() -> void { Patch(false); }

  auto Advance(duration time) -> void;

  // Fault injection.
  auto Kill(const std::string& vm) -> void;
  auto Restart(const std::string& vm) -> void;
  auto Pause(const std::string& vm) -> void;
  auto Resume(const std::string& vm) -> void;
  auto RestartEngine(const std::string& endpoint) -> void;
  auto ListAsLeaving(const std::set<std::string>& endpoints) -> void;

  // The VM that acquired the lease last, or the first VM before any grant.
  [[nodiscard]] auto LeaseHolder() const -> std::string;

  fake_lease_service lease;
  fake_weight_store store;
  // VMs that cannot reach the engines.
  std::set<std::string> vms_cut_from_engines;
  bool drops_orders = false;
  bool drops_order_responses = false;
  // Delivers each order a second time after this delay.
  std::optional<duration> duplicates_orders_after;

  [[nodiscard]] auto Engine(const std::string& endpoint) -> fake_engine& {
    return engines_.at(endpoint);
  }
  [[nodiscard]] auto Progress(const std::string& vm) const
      -> migration::migration_progress;
  [[nodiscard]] auto IsFinished() const -> bool;
  [[nodiscard]] auto checker() const -> const migration_checker& {
    return checker_;
  }
  [[nodiscard]] auto now() const -> instant { return now_; }
  [[nodiscard]] auto order_count() const -> std::uint64_t {
    return order_count_;
  }
  [[nodiscard]] auto read_count() const -> std::uint64_t { return read_count_; }

 private:
  // An entry VM. `start` numbers its starts, so that events for an earlier
  // process of the VM are discarded.
  struct controller {
    migration::migration_system system{migration::migration_options{}};
    std::uint64_t start = 0;
    bool is_up = true;
    bool is_paused = false;
    std::vector<migration::event> queued;
    std::map<std::string, bool> is_open;
    // First empty report of each endpoint. The injected defect
    // `trusts_outdated_reports` returns it for old endpoints from then on.
    std::map<std::string, migration::engine_report> outdated_reports;
  };

  auto Patch(bool to_new) -> void;
  auto Start(const std::string& vm) -> void;
  auto Schedule(duration delay, std::function<void()> action) -> void;
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
  auto SendRequests() -> void;
  auto Check() -> void;
  // Running VMs that report the evacuation of the current version as complete.
  [[nodiscard]] auto VmsReportingEvacuated() const -> std::set<std::string>;
  // Delivers the response of the lease service to a VM, late when its outcome
  // is unknown.
  auto NotifyLeaseResponse(const std::string& vm, migration::event response)
      -> void;

  migration_setup setup_;
  random_source random_;
  planted_bugs bugs_;
  instant now_{};
  std::uint64_t last_start_ = 0;
  std::map<std::string, controller> vms_;
  std::map<std::string, fake_engine> engines_;
  std::multimap<instant, std::function<void()>> actions_;
  migration::wanted_state wanted_;
  instant accepted_at_{};
  migration::vm_list vm_list_;
  // Time from which every VM is expected to know that enough new endpoints are
  // ready. It may lie in the future.
  std::optional<instant> replaced_since_;
  // Endpoints that a fault took out of service. They count as lost while they
  // do not serve, until `replaced_since_` is reached.
  std::set<std::string> lost_to_faults_;
  std::set<std::string> vms_reporting_evacuated_;
  migration_checker checker_;
  std::uint64_t order_count_ = 0;
  std::uint64_t read_count_ = 0;
};

}  // namespace daisywind::testing

#endif  // DAISYWIND_TESTING_FAKE_MIGRATION_H_
