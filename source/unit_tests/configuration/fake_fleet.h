// Configuration systems of several VMs with a service and links between them,
// in one process and simulated time. All faults are the test's to choose.
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
#include "fake_service.h"

namespace daisywind::configuration {

// Behaviour of the links and the service.
struct fleet_faults {
  duration service_delay = 2ms;
  duration peer_delay = 1ms;
  bool is_service_down = false;
  // Parts of the calls that are lost on the way there, or on the way back.
  double lost_calls = 0;
  double lost_answers = 0;
  double lost_messages = 0;
};

struct fleet_node {
  member self;
  std::unique_ptr<configuration_system> system;
  bool is_running = false;
  bool is_paused = false;
  // Nodes of different groups do not reach each other.
  int group = 0;
  bool reaches_service = true;
  // Events that came while paused.
  std::vector<event> held;
  version_number newest_installed = 0;
  std::optional<instant> installed_at;
  std::map<watch_id, std::string> watches;
};

class fake_fleet {
 public:
  using message_observer =
      std::function<void(std::size_t from, const message& content)>;

  fake_fleet(std::size_t nodes, std::size_t domains, std::uint64_t seed);

  // Writes version 1 into the service.
  auto Initialize(const document& value) -> void;

  auto Start(std::size_t node) -> void;
  auto StartAll() -> void;
  // Ends a process and tells the others.
  auto Kill(std::size_t node) -> void;
  auto Pause(std::size_t node) -> void;
  auto Resume(std::size_t node) -> void;

  // Lets time pass.
  auto Run(duration time) -> void;
  // Runs until the condition holds; false when the time was over first.
  auto RunUntil(const std::function<bool()>& condition, duration time) -> bool;

  auto Patch(std::size_t node,
             version_number if_match,
             std::string patch_id,
             std::string text) -> request_id;
  // Patches and runs until the reply.
  auto PatchAndWait(std::size_t node,
                    version_number if_match,
                    std::string patch_id,
                    std::string text) -> patch_result;
  auto Post(std::size_t node, const event& happened) -> void;

  // True when every running VM has at least this version in force.
  [[nodiscard]] auto AllHave(version_number number) const -> bool;

  auto At(std::size_t node) -> fleet_node& { return nodes_[node]; }
  [[nodiscard]] auto Now() const -> instant { return now_; }
  [[nodiscard]] auto Counters() const -> configuration_counters;

  // Given to each system that is started.
  configuration_options options;
  fleet_faults faults;
  fake_service service;
  std::map<request_id, patch_result> patch_replies;
  std::map<request_id, version_reply> version_replies;
  std::map<request_id, history_reply> history_replies;
  std::map<request_id, status_reply> status_replies;
  // Installs of a number that was not above the one before.
  std::size_t reversions = 0;
  message_observer on_message;

 private:
  auto Schedule(duration delay, std::function<void()> action) -> void;
  auto Deliver(std::size_t node, const event& happened) -> void;
  auto Execute(std::size_t node, const std::vector<command>& commands) -> void;
  auto Do(std::size_t node, const kv_command& item) -> void;
  auto Do(std::size_t node, const start_watch& item) -> void;
  auto Do(std::size_t node, const stop_watch& item) -> void;
  auto Do(std::size_t node, const send_message& item) -> void;
  auto Do(std::size_t node, const patch_reply& item) -> void;
  auto Do(std::size_t node, const version_reply& item) -> void;
  auto Do(std::size_t node, const history_reply& item) -> void;
  auto Do(std::size_t node, const status_reply& item) -> void;
  auto Do(std::size_t node, const install_version& item) -> void;
  auto NotifyWatches() -> void;
  auto TellMembers() -> void;
  auto TickAll() -> void;
  auto Fails(double part) -> bool { return random_.UniformDouble() < part; }

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
