#include "fake_fleet.h"

#include <algorithm>
#include <string>

#include "configuration/storage.h"

namespace daisywind::configuration {
namespace {

constexpr auto kUnixMs = std::int64_t{1'700'000'000'000};
constexpr auto kCallTimeout = duration(1s);

}  // namespace

fake_fleet::fake_fleet(std::size_t nodes,
                       std::size_t domains,
                       std::uint64_t seed)
    : random_(seed), nodes_(nodes) {
  for (auto i = std::size_t{0}; i < nodes; ++i) {
    nodes_[i].self = {{vm_id("vm-" + std::to_string(i)), 0},
                      failure_domain_id(std::to_string(i % domains))};
    indexes_[nodes_[i].self.vm.vm] = i;
  }
}

auto fake_fleet::Initialize(const document& value) -> void {
  auto info = version_info{{}, "init", "test", kUnixMs};
  for (const auto& request : InitialVersionRequests(value, info)) {
    service.Execute(request);
  }
  NotifyWatches();
}

auto fake_fleet::Start(std::size_t node) -> void {
  auto& item = nodes_[node];
  item.self.vm.run += 1;
  item.system = std::make_unique<configuration_system>(random_.Next(), options);
  item.is_running = true;
  item.is_paused = false;
  item.newest_installed = 0;
  item.watches.clear();
  item.deferred_events.clear();
  const auto since_start =
      std::chrono::duration_cast<std::chrono::milliseconds>(now_ -
                                                            instant(3600s));
  Deliver(node, started{item.self, kUnixMs + since_start.count()});
  SendMembers();
}

auto fake_fleet::StartAll() -> void {
  for (auto i = std::size_t{0}; i < nodes_.size(); ++i) {
    auto& item = nodes_[i];
    item.self.vm.run += 1;
    item.system =
        std::make_unique<configuration_system>(random_.Next(), options);
    item.is_running = true;
    Deliver(i, started{item.self, kUnixMs});
  }
  SendMembers();
}

auto fake_fleet::Kill(std::size_t node) -> void {
  nodes_[node].is_running = false;
  nodes_[node].watches.clear();
  SendMembers();
}

auto fake_fleet::Pause(std::size_t node) -> void {
  nodes_[node].is_paused = true;
}

auto fake_fleet::Resume(std::size_t node) -> void {
  nodes_[node].is_paused = false;
  for (const auto& item : std::exchange(nodes_[node].deferred_events, {})) {
    Deliver(node, item);
  }
}

auto fake_fleet::Run(duration time) -> void {
  RunUntil([] { return false; }, time);
}

auto fake_fleet::RunUntil(const std::function<bool()>& condition, duration time)
    -> bool {
  const auto end = now_ + time;
  while (!condition()) {
    const auto next = queue_.empty()
                          ? next_tick_
                          : std::min(next_tick_, queue_.begin()->first);
    if (next > end) {
      now_ = end;
      return false;
    }
    now_ = next;
    if (next == next_tick_) {
      next_tick_ = now_ + kTickInterval;
      TickAll();
      continue;
    }
    const auto action = std::move(queue_.begin()->second);
    queue_.erase(queue_.begin());
    action();
  }
  return true;
}

auto fake_fleet::Patch(std::size_t node,
                       version_number if_match,
                       std::string patch_id,
                       std::string text) -> request_id {
  last_request_ += 1;
  Post(node, patch_requested{last_request_, if_match, std::move(patch_id),
                             "test", patch_kind::kMergePatch, std::move(text)});
  return last_request_;
}

auto fake_fleet::PatchAndWait(std::size_t node,
                              version_number if_match,
                              std::string patch_id,
                              std::string text) -> patch_result {
  const auto id = Patch(node, if_match, std::move(patch_id), std::move(text));
  RunUntil([&] { return patch_replies.contains(id); }, 60s);
  return patch_replies.at(id);
}

auto fake_fleet::Post(std::size_t node, const event& input) -> void {
  Deliver(node, input);
}

auto fake_fleet::AllHave(version_number number) const -> bool {
  return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& item) {
    return !item.is_running || item.system->Number() >= number;
  });
}

auto fake_fleet::Counters() const -> configuration_counters {
  auto sum = configuration_counters{};
  for (const auto& item : nodes_) {
    const auto one = item.system->counters();
    sum.kv_reads += one.kv_reads;
    sum.kv_writes += one.kv_writes;
    sum.kv_watches += one.kv_watches;
    sum.messages += one.messages;
    sum.installs += one.installs;
  }
  return sum;
}

auto fake_fleet::Schedule(duration delay, std::function<void()> action)
    -> void {
  queue_.emplace(now_ + delay, std::move(action));
}

auto fake_fleet::Deliver(std::size_t node, const event& input) -> void {
  auto& item = nodes_[node];
  if (item.is_paused) {
    item.deferred_events.push_back(input);
  } else if (item.is_running) {
    Execute(node, item.system->Handle(input, now_));
  }
}

auto fake_fleet::Execute(std::size_t node, const std::vector<command>& commands)
    -> void {
  for (const auto& item : commands) {
    std::visit([&](const auto& content) { ExecuteCommand(node, content); },
               item);
  }
}

auto fake_fleet::ExecuteCommand(std::size_t node, const kv_command& item)
    -> void {
  const auto run = nodes_[node].self.vm.run;
  const auto answer = [this, node, run](const kv_result& result) {
    if (nodes_[node].self.vm.run == run) {
      Deliver(node, result);
    }
  };
  if (faults.is_service_down || !nodes_[node].reaches_service ||
      Occurs(faults.call_loss)) {
    Schedule(kCallTimeout, [answer, id = item.operation] {
      answer({id, kv::outcome::kUnknown, {}});
    });
    return;
  }
  Schedule(faults.service_delay, [this, answer, item] {
    auto result = kv_result{item.operation, kv::outcome::kAnswered,
                            service.Execute(item.request)};
    NotifyWatches();
    if (Occurs(faults.answer_loss)) {
      Schedule(kCallTimeout, [answer, id = item.operation] {
        answer({id, kv::outcome::kUnknown, {}});
      });
      return;
    }
    Schedule(faults.service_delay, [answer, result] { answer(result); });
  });
}

auto fake_fleet::ExecuteCommand(std::size_t node, const start_watch& item)
    -> void {
  nodes_[node].watches[item.watch] = item.key;
}

auto fake_fleet::ExecuteCommand(std::size_t node, const stop_watch& item)
    -> void {
  nodes_[node].watches.erase(item.watch);
}

auto fake_fleet::ExecuteCommand(std::size_t node, const send_message& item)
    -> void {
  if (on_message) {
    on_message(node, item.content);
  }
  const auto found = indexes_.find(item.to.vm);
  const auto* target =
      found == indexes_.end() ? nullptr : &nodes_[found->second];
  const auto is_lost = target == nullptr || target->self.vm != item.to ||
                       target->partition != nodes_[node].partition ||
                       Occurs(faults.message_loss);
  if (is_lost) {
    return;
  }
  Schedule(faults.peer_delay,
           [this, index = found->second, from = nodes_[node].self.vm,
            content = item.content] {
             Deliver(index, peer_message{from, content});
           });
}

auto fake_fleet::ExecuteCommand(std::size_t /*node*/, const patch_reply& item)
    -> void {
  patch_replies[item.request] = item.result;
}

auto fake_fleet::ExecuteCommand(std::size_t /*node*/, const version_reply& item)
    -> void {
  version_replies[item.request] = item;
}

auto fake_fleet::ExecuteCommand(std::size_t /*node*/, const history_reply& item)
    -> void {
  history_replies[item.request] = item;
}

auto fake_fleet::ExecuteCommand(std::size_t /*node*/, const status_reply& item)
    -> void {
  status_replies[item.request] = item;
}

auto fake_fleet::ExecuteCommand(std::size_t node, const install_version& item)
    -> void {
  auto& target = nodes_[node];
  reversions += item.number > target.newest_installed ? 0 : 1;
  target.newest_installed = item.number;
  target.installed_at = now_;
}

auto fake_fleet::NotifyWatches() -> void {
  for (const auto& changed : service.TakeChanged()) {
    for (auto i = std::size_t{0}; i < nodes_.size(); ++i) {
      for (const auto& [id, key] : nodes_[i].watches) {
        if (key != changed.key || !nodes_[i].reaches_service) {
          continue;
        }
        Schedule(faults.service_delay, [this, i, id = id, changed] {
          Deliver(i, watch_event{id, changed});
        });
      }
    }
  }
}

auto fake_fleet::SendMembers() -> void {
  auto change = members_changed{};
  for (const auto& item : nodes_) {
    if (item.is_running) {
      change.members.push_back(item.self);
    }
  }
  for (auto i = std::size_t{0}; i < nodes_.size(); ++i) {
    Deliver(i, change);
  }
}

auto fake_fleet::TickAll() -> void {
  for (auto i = std::size_t{0}; i < nodes_.size(); ++i) {
    if (nodes_[i].is_running && !nodes_[i].is_paused) {
      Execute(i, nodes_[i].system->Tick(now_));
    }
  }
}

}  // namespace daisywind::configuration
