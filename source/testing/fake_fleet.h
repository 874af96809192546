// Entry VMs that exchange membership messages in one process, over a fake
// network and beside a fake key-value service, under an injected clock.
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

// Size in bytes of an encoded message.
using message_size =
    std::function<std::size_t(const membership::message& content)>;

// A verdict of one VM on another one.
struct verdict {
  instant at{};
  vm_id observer;
  vm_ref subject;
  bool is_dead = false;
};

// Work counted since the last reset.
struct fleet_counts {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
  std::uint64_t service_calls = 0;
};

// One VM of the fleet.
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

  // Starts a VM, or restarts it with a new run. VMs whose domain begins with
  // another word stand in another region.
  auto Start(const std::string& vm,
             const std::string& domain,
             const std::vector<std::string>& seeds = {},
             const std::string& address = {}) -> void;

  auto Kill(const std::string& vm) -> void;
  auto Leave(const std::string& vm) -> void;
  auto Pause(const std::string& vm) -> void;
  auto Resume(const std::string& vm) -> void;

  // Cuts one region off from all others, in both directions.
  auto CutRegion(const std::string& region) -> void { cut_.insert(region); }
  auto HealRegions() -> void { cut_.clear(); }

  // Part of the messages that are lost, in [0, 1).
  auto LoseMessages(double share) -> void { lost_share_ = share; }

  auto SetServiceUp(bool is_up) -> void { is_service_up_ = is_up; }
  // The service takes writes but their answers are lost.
  auto LoseServiceAnswers(bool are_lost) -> void {
    are_answers_lost_ = are_lost;
  }

  auto MeasureSize(message_size size) -> void { size_ = std::move(size); }

  auto Advance(duration time) -> void;

  // Names of the members that a VM sees as live.
  [[nodiscard]] auto Seen(const std::string& vm) const -> std::set<std::string>;

  // Whether all running VMs see exactly the running VMs.
  [[nodiscard]] auto HasConverged() const -> bool;

  [[nodiscard]] auto Ref(const std::string& vm) const -> vm_ref;
  [[nodiscard]] auto IsSuperseded(const vm_ref& ref) const -> bool;
  [[nodiscard]] auto LeaseCount() const -> std::size_t;
  [[nodiscard]] auto now() const -> instant { return now_; }
  [[nodiscard]] auto verdicts() const -> const std::vector<verdict>& {
    return verdicts_;
  }
  [[nodiscard]] auto counts() const -> const fleet_counts& { return counts_; }
  auto ResetCounts() -> void;

 private:
  struct lease {
    membership::member record;
    instant until{};
  };

  auto Run(fake_vm& vm, const membership::event& input) -> void;
  auto Execute(fake_vm& vm, const std::vector<membership::command>& commands)
      -> void;
  auto Transmit(const fake_vm& from, const membership::send_message& item)
      -> void;
  auto Deliver(const std::string& address, const membership::message& content)
      -> void;
  auto Publish(fake_vm& vm, const membership::publish_lease& item) -> void;
  auto AnswerRead(fake_vm& vm) -> void;
  auto TickAll() -> void;
  [[nodiscard]] auto IsCut(const region_id& a, const region_id& b) const
      -> bool;

  membership::membership_options options_;
  random_source random_;
  instant now_{};
  std::map<std::string, fake_vm> vms_;
  // Names of the VMs that tick at each step of the tick interval.
  std::vector<std::vector<std::string>> phases_;
  // The VM that answers at an address.
  std::map<std::string, std::string> by_address_;
  std::multimap<instant, std::pair<std::string, membership::message>> network_;
  std::map<vm_id, lease> leases_;
  std::set<std::string> cut_;
  double lost_share_ = 0;
  bool is_service_up_ = true;
  bool are_answers_lost_ = false;
  incarnation last_run_ = 0;
  message_size size_;
  std::vector<verdict> verdicts_;
  std::set<vm_ref> superseded_;
  fleet_counts counts_;
};

}  // namespace daisywind::testing

#endif  // DAISYWIND_TESTING_FAKE_FLEET_H_
