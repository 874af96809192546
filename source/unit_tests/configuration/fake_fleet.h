// Simulates the configuration systems of several VMs, the key-value service and
// the network between them, in one process and simulated time. Tests inject the
// faults.
#ifndef DAISYWIND_UNIT_TESTS_CONFIGURATION_FAKE_FLEET_H_
#define DAISYWIND_UNIT_TESTS_CONFIGURATION_FAKE_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "common/random.h"
#include "common/time.h"
#include "configuration/configuration_system.h"
#include "configuration/events.h"
#include "fake_kv_service.h"

namespace daisywind::configuration {

// Delays and faults of the network and the service.
struct fleet_faults {
  duration service_delay = 2ms;
  duration peer_delay = 1ms;
  bool is_service_down = false;
  // Probabilities, from 0 to 1, that a service call is lost before it is
  // executed, that its answer is lost, and that a peer message is lost.
  double call_loss = 0;
  double answer_loss = 0;
  double message_loss = 0;
};

struct fleet_node {
  member self;
  std::unique_ptr<configuration_system> system;
  bool is_running = false;
  bool is_paused = false;
  // Number of the network partition. Nodes in different partitions cannot reach
  // each other.
  int partition = 0;
  bool reaches_service = true;
  // Events that arrived while the node was paused.
  std::vector<event> deferred_events;
  version_number newest_installed = 0;
  std::optional<instant> installed_at;
  std::map<watch_id, std::string> watches;
};

class fake_fleet {
 public:
  using message_observer =
      std::function<void(std::size_t from, const message& content)>;

  fake_fleet(std::size_t nodes, std::size_t domains, std::uint64_t seed);

  // Writes version 1 to the service.
  auto Initialize(const document& value) -> void;

  auto Start(std::size_t node) -> void;
  auto StartAll() -> void;
  // Stops a node and updates the member list of the others.
  auto Kill(std::size_t node) -> void;
  auto Pause(std::size_t node) -> void;
  auto Resume(std::size_t node) -> void;

  // Advances the simulated time.
  auto Run(duration time) -> void;
  // Runs until the condition holds. Returns false when `time` elapsed first.
  auto RunUntil(const std::function<bool()>& condition, duration time) -> bool;

  auto Patch(std::size_t node,
             version_number if_match,
             std::string patch_id,
             std::string text) -> request_id;
  // Sends a patch and runs until its reply, for at most 60 s.
  auto PatchAndWait(std::size_t node,
                    version_number if_match,
                    std::string patch_id,
                    std::string text) -> patch_result;
  auto Post(std::size_t node, const event& input) -> void;

  // True when every running VM has installed at least this version.
  [[nodiscard]] auto AllHave(version_number number) const -> bool;

  auto At(std::size_t node) -> fleet_node& { return nodes_[node]; }
  [[nodiscard]] auto Now() const -> instant { return now_; }
  [[nodiscard]] auto Counters() const -> configuration_counters;

  // Passed to each system that is started.
  configuration_options options;
  fleet_faults faults;
  fake_kv_service service;
  std::map<request_id, patch_result> patch_replies;
  std::map<request_id, version_reply> version_replies;
  std::map<request_id, history_reply> history_replies;
  std::map<request_id, status_reply> status_replies;
  // Number of installations whose version number did not increase.
  std::size_t reversions = 0;
  message_observer on_message;

 private:
  auto Schedule(duration delay, std::function<void()> action) -> void;
  auto Deliver(std::size_t node, const event& input) -> void;
  auto Execute(std::size_t node, const std::vector<command>& commands) -> void;
  auto ExecuteCommand(std::size_t node, const kv_command& item) -> void;
  auto ExecuteCommand(std::size_t node, const start_watch& item) -> void;
  auto ExecuteCommand(std::size_t node, const stop_watch& item) -> void;
  auto ExecuteCommand(std::size_t node, const send_message& item) -> void;
  auto ExecuteCommand(std::size_t node, const patch_reply& item) -> void;
  auto ExecuteCommand(std::size_t node, const version_reply& item) -> void;
  auto ExecuteCommand(std::size_t node, const history_reply& item) -> void;
  auto ExecuteCommand(std::size_t node, const status_reply& item) -> void;
  auto ExecuteCommand(std::size_t node, const install_version& item) -> void;
  auto NotifyWatches() -> void;
  auto SendMembers() -> void;
  auto TickAll() -> void;
  auto Occurs(double probability) -> bool {
    return random_.UniformDouble() < probability;
  }

  random_source random_;
  std::vector<fleet_node> nodes_;
  std::map<vm_id, std::size_t> indexes_;
  instant now_ = instant(3600s);
  instant next_tick_ = now_;
  std::multimap<instant, std::function<void()>> queue_;
  request_id last_request_ = 0;
};

}  // namespace daisywind::configuration

#endif  // DAISYWIND_UNIT_TESTS_CONFIGURATION_FAKE_FLEET_H_
