// Simulates a fleet of entry VMs that run the membership protocol in one
// process with a fake network, a fake key-value service and a simulated clock.
#ifndef DAISYWIND_TESTING_FAKE_FLEET_H_
#define DAISYWIND_TESTING_FAKE_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/random.h"
#include "common/time.h"
#include "membership/membership_system.h"

namespace daisywind::testing {

// Returns the size in bytes of an encoded message.
using message_sizer =
    std::function<std::size_t(const membership::message& content)>;

// Records that `observer` declared `subject` dead or, with `is_dead` false,
// suspected it.
struct failure_report {
  instant at{};
  vm_id observer;
  vm_ref subject;
  bool is_dead = false;
};

// Traffic since the last reset. `bytes` stays zero until a message sizer is
// set.
struct fleet_counts {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
  std::uint64_t service_calls = 0;
};

// A VM of the fleet. `delayed` holds the messages that arrived while the VM was
// paused.
struct fake_vm {
  explicit fake_vm(membership::membership_system started_system)
      : system(std::move(started_system)) {}

  membership::membership_system system;
  membership::member self;
  bool is_running = true;
  bool is_paused = false;
  std::vector<membership::message> delayed;
};

class fake_fleet {
 public:
  fake_fleet(membership::membership_options options, std::uint64_t seed);

  // Starts a VM, or restarts it with a new incarnation. The part of `domain`
  // before the first hyphen names the region. Without an address the VM gets
  // its name with port 1.
  auto Start(const std::string& vm,
             const std::string& domain,
             const std::vector<std::string>& seeds = {},
             const std::string& address = {}) -> void;

  auto Kill(const std::string& vm) -> void;
  auto Leave(const std::string& vm) -> void;
  auto Pause(const std::string& vm) -> void;
  auto Resume(const std::string& vm) -> void;

  // Drops all messages between this region and all others.
  auto PartitionRegion(const std::string& region) -> void {
    partitioned_regions_.insert(region);
  }
  auto HealPartitions() -> void { partitioned_regions_.clear(); }

  // Sets the fraction of messages that are lost, in [0, 1).
  auto SetMessageLoss(double fraction) -> void { message_loss_ = fraction; }

  auto SetServiceUp(bool is_up) -> void { is_service_up_ = is_up; }
  // While set, the key-value service applies writes, but its responses do not
  // reach the VMs.
  auto SetServiceResponseLoss(bool are_lost) -> void {
    are_service_responses_lost_ = are_lost;
  }

  auto SetMessageSizer(message_sizer size) -> void {
    message_sizer_ = std::move(size);
  }

  auto Advance(duration time) -> void;

  // Names of the live members as a VM sees them, itself included.
  [[nodiscard]] auto VisibleMembers(const std::string& vm) const
      -> std::set<std::string>;

  // Whether every running VM lists exactly the current incarnations of the
  // running VMs, all of them alive.
  [[nodiscard]] auto HasConverged() const -> bool;

  [[nodiscard]] auto Ref(const std::string& vm) const -> vm_ref;
  [[nodiscard]] auto IsSuperseded(const vm_ref& ref) const -> bool;
  [[nodiscard]] auto LeaseCount() const -> std::size_t;
  [[nodiscard]] auto now() const -> instant { return now_; }
  [[nodiscard]] auto failure_reports() const
      -> const std::vector<failure_report>& {
    return failure_reports_;
  }
  [[nodiscard]] auto counts() const -> const fleet_counts& { return counts_; }
  auto ResetCounts() -> void;

 private:
  struct lease {
    membership::member record;
    instant expires_at{};
  };

  auto HandleEvent(fake_vm& vm, const membership::event& input) -> void;
  auto Execute(fake_vm& vm, const std::vector<membership::command>& commands)
      -> void;
  auto Transmit(const fake_vm& from, const membership::send_message& item)
      -> void;
  auto Deliver(const std::string& address, const membership::message& content)
      -> void;
  auto Publish(fake_vm& vm, const membership::publish_lease& item) -> void;
  auto RespondToRead(fake_vm& vm) -> void;
  auto TickAll() -> void;
  [[nodiscard]] auto ArePartitioned(const region_id& a,
                                    const region_id& b) const -> bool;

  membership::membership_options options_;
  random_source random_;
  instant now_{};
  std::map<std::string, fake_vm> vms_;
  // Names of the VMs that tick at each 1 ms step of the tick interval.
  std::vector<std::vector<std::string>> tick_phases_;
  // Name of the VM that receives messages at an address.
  std::map<std::string, std::string> vms_by_address_;
  std::multimap<instant, std::pair<std::string, membership::message>> network_;
  std::map<vm_id, lease> leases_;
  std::set<std::string> partitioned_regions_;
  double message_loss_ = 0;
  bool is_service_up_ = true;
  bool are_service_responses_lost_ = false;
  incarnation last_incarnation_ = 0;
  message_sizer message_sizer_;
  std::vector<failure_report> failure_reports_;
  std::set<vm_ref> superseded_;
  fleet_counts counts_;
};

}  // namespace daisywind::testing

#endif  // DAISYWIND_TESTING_FAKE_FLEET_H_
