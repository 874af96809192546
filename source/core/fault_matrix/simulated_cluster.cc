#include "fault_matrix/simulated_cluster.h"

#include <algorithm>
#include <utility>

namespace daisywind::fault_matrix {
namespace {

constexpr auto kTickPeriod = duration{100ms};
// Delay until the member list follows a process that went down or came up.
constexpr auto kDetectionDelay = duration{1s};
// Delay until a process that died is started again.
constexpr auto kRestartDelay = duration{5s};
constexpr auto kPartitionTime = duration{8s};
constexpr auto kDrainTimeout = duration{5s};
constexpr auto kSessionsPeriod = duration{10s};
// Programs of each owner that are searched for the highest epoch.
constexpr std::size_t kListedPrograms = 8;

}  // namespace

simulated_cluster::simulated_cluster(const program::program_options& options,
                                     std::uint64_t seed,
                                     std::vector<planned_fault> faults)
    : options_(options),
      random_(seed),
      faults_(std::move(faults)),
      now_(instant{duration{1s}}),
      endpoints_(MakeEndpoints()) {
  static constexpr auto kDomains =
      std::to_array<std::string_view>({"a", "b", "c"});
  for (auto i = vm_index{0}; i < kVmCount; ++i) {
    const auto domain = kDomains.at(i % kDomains.size());
    auto vm = fake_vm{};
    vm.member_info.vm = vm_ref{vm_id{"vm-" + std::to_string(i + 1)}, 0};
    vm.member_info.failure_domain = failure_domain_id{std::string{domain}};
    vm.member_info.region = region_id{domain == "c" ? "south" : "north"};
    vms_.push_back(std::move(vm));
  }
  for (auto i = vm_index{0}; i < kVmCount; ++i) {
    StartProcess(i);
  }
  PublishMembers();
  Schedule(kTickPeriod, [this] { Tick(); });
  Schedule(kSessionsPeriod, [this] { ListSessions(); });
}

auto simulated_cluster::SetHandlers(reply_handler on_reply,
                                    process_death_handler on_process_death,
                                    disconnect_handler on_disconnect) -> void {
  on_reply_ = std::move(on_reply);
  on_process_death_ = std::move(on_process_death);
  on_disconnect_ = std::move(on_disconnect);
}

auto simulated_cluster::Schedule(duration delay, std::function<void()> action)
    -> void {
  queue_.emplace(queue_key{now_ + delay, next_sequence_++}, std::move(action));
}

auto simulated_cluster::RunUntil(instant end,
                                 const std::function<bool()>& is_done) -> void {
  while (!queue_.empty() && !is_done()) {
    const auto first = queue_.begin();
    const auto at = std::get<0>(first->first);
    if (at > end) {
      return;
    }
    const auto action = std::move(first->second);
    queue_.erase(first);
    now_ = at;
    action();
  }
}

auto simulated_cluster::RecordEvent(observed_event event) -> void {
  event.at = now_;
  history_.push_back(std::move(event));
}

auto simulated_cluster::NextEntry() -> vm_index {
  for (auto i = vm_index{0}; i < kVmCount; ++i) {
    next_entry_ = (next_entry_ + 1) % kVmCount;
    if (vms_[next_entry_].is_up) {
      break;
    }
  }
  return next_entry_;
}

auto simulated_cluster::CurrentReplicas() const -> program::replica_set {
  auto newest = program::replica_set{};
  for (const auto& vm : vms_) {
    if (!vm.system) {
      continue;
    }
    for (const auto& view : vm.system->OwnedPrograms(kListedPrograms)) {
      if (view.handle.replicas.epoch > newest.epoch) {
        newest = view.handle.replicas;
      }
    }
  }
  return newest;
}

auto simulated_cluster::FindVm(const vm_ref& ref) const
    -> std::optional<vm_index> {
  for (auto i = vm_index{0}; i < kVmCount; ++i) {
    if (vms_[i].member_info.vm == ref) {
      return i;
    }
  }
  return std::nullopt;
}

auto simulated_cluster::StartProcess(vm_index vm) -> void {
  auto& process = vms_[vm];
  ++process.member_info.vm.run;
  process.system = std::make_unique<program::program_system>(
      options_, process.member_info.vm, random_.Next());
  process.is_up = true;
  process.is_paused = false;
  process.is_leaving = false;
  process.pending_events.clear();
  process.pending_commands.clear();
}

auto simulated_cluster::KillProcess(vm_index vm) -> void {
  auto& process = vms_[vm];
  if (!process.is_up) {
    return;
  }
  process.is_up = false;
  process.system.reset();
  process.pending_commands.clear();
  process.pending_events.clear();
  if (on_process_death_) {
    Schedule(duration{1ms}, [this, vm] { on_process_death_(vm); });
  }
  UpdateListingLater(vm, false);
  Schedule(kRestartDelay, [this, vm] {
    StartProcess(vm);
    UpdateListingLater(vm, true);
  });
}

auto simulated_cluster::PauseProcess(vm_index vm) -> void {
  auto& process = vms_[vm];
  if (!process.is_up || process.is_paused) {
    return;
  }
  process.is_paused = true;
  const auto ref = process.member_info.vm;
  Schedule(kPauseTime, [this, vm, ref] {
    if (vms_[vm].member_info.vm == ref) {
      ResumeProcess(vm);
    }
  });
}

auto simulated_cluster::ResumeProcess(vm_index vm) -> void {
  auto& process = vms_[vm];
  if (!process.is_up || !process.is_paused) {
    return;
  }
  process.is_paused = false;
  // A resumed process first finishes the commands at which it was paused, and
  // only then handles new events.
  ExecutePending(vm);
  while (process.is_up && !process.is_paused &&
         !process.pending_events.empty()) {
    const auto input = std::move(process.pending_events.front());
    process.pending_events.pop_front();
    Execute(vm, process.system->Handle(input, now_));
  }
}

auto simulated_cluster::StopGracefully(vm_index vm) -> void {
  if (!vms_[vm].is_up || vms_[vm].is_paused) {
    return;
  }
  vms_[vm].is_leaving = true;
  PublishMembers();
  const auto ref = vms_[vm].member_info.vm;
  Deliver(vm, program::shutdown_requested{});
  Schedule(kDrainTimeout, [this, vm, ref] {
    if (vms_[vm].member_info.vm == ref) {
      KillProcess(vm);
    }
  });
}

auto simulated_cluster::RestartAll() -> void {
  auto delay = duration{};
  for (auto i = vm_index{0}; i < kVmCount; ++i) {
    Schedule(delay, [this, i] { StopGracefully(i); });
    delay += kDrainTimeout + kRestartDelay + 2 * kDetectionDelay;
  }
}

auto simulated_cluster::UpdateListingLater(vm_index vm, bool is_listed)
    -> void {
  Schedule(kDetectionDelay, [this, vm, is_listed] {
    const auto is_still_valid =
        vms_[vm].is_up == is_listed || vms_[vm].is_paused;
    if (is_still_valid) {
      vms_[vm].is_listed = is_listed;
      PublishMembers();
    }
  });
}

auto simulated_cluster::PublishMembers() -> void {
  auto change = program::members_changed{};
  for (const auto& vm : vms_) {
    if (vm.is_listed) {
      change.members.push_back(vm.member_info);
      change.members.back().is_leaving = vm.is_leaving;
    }
  }
  const auto frozen = std::max(duration{}, members_frozen_until_ - now_);
  Schedule(std::max(frozen, members_delay_), [this, change] {
    for (auto i = vm_index{0}; i < kVmCount; ++i) {
      Deliver(i, change);
    }
  });
}

auto simulated_cluster::PartitionLinks(const std::vector<link>& links) -> void {
  for (const auto& item : links) {
    partitioned_links_.insert(item);
    partitioned_links_.insert({item.second, item.first});
  }
  Schedule(kPartitionTime, [this, links] {
    for (const auto& item : links) {
      partitioned_links_.erase(item);
      partitioned_links_.erase({item.second, item.first});
    }
  });
}

auto simulated_cluster::Isolate(vm_index vm) -> void {
  auto links = std::vector<link>{};
  for (auto i = vm_index{0}; i < kVmCount; ++i) {
    if (i != vm) {
      links.emplace_back(vm, i);
    }
  }
  PartitionLinks(links);
}

auto simulated_cluster::PartitionRegions() -> void {
  auto links = std::vector<link>{};
  for (auto i = vm_index{0}; i < kVmCount; ++i) {
    for (auto j = vm_index{0}; j < i; ++j) {
      if (vms_[i].member_info.region != vms_[j].member_info.region) {
        links.emplace_back(i, j);
      }
    }
  }
  PartitionLinks(links);
}

auto simulated_cluster::Deliver(vm_index vm, const program::event& input)
    -> void {
  auto& process = vms_[vm];
  if (!process.is_up) {
    return;
  }
  if (process.is_paused) {
    process.pending_events.push_back(input);
    return;
  }
  if (std::holds_alternative<program::call_arrived>(input)) {
    const auto effect = InjectFaults(call_step::kArrival, {vm, {}, {}});
    if (!process.is_up) {
      return;
    }
    if (effect.pauses_before) {
      PauseProcess(vm);
      process.pending_events.push_back(input);
      return;
    }
    Execute(vm, process.system->Handle(input, now_));
    if (effect.dies_after) {
      KillProcess(vm);
    }
    if (effect.pauses_after) {
      PauseProcess(vm);
    }
    return;
  }
  Execute(vm, process.system->Handle(input, now_));
}

auto simulated_cluster::Execute(vm_index vm,
                                std::vector<program::command> commands)
    -> void {
  auto& pending_commands = vms_[vm].pending_commands;
  for (auto& item : commands) {
    pending_commands.push_back(std::move(item));
  }
  ExecutePending(vm);
}

auto simulated_cluster::ExecutePending(vm_index vm) -> void {
  auto& process = vms_[vm];
  while (process.is_up && !process.is_paused &&
         !process.pending_commands.empty()) {
    const auto item = std::move(process.pending_commands.front());
    process.pending_commands.pop_front();
    Dispatch(vm, item);
  }
}

auto simulated_cluster::Tick() -> void {
  for (auto i = vm_index{0}; i < kVmCount; ++i) {
    if (vms_[i].is_up && !vms_[i].is_paused) {
      Execute(i, vms_[i].system->Tick(now_));
    }
  }
  Schedule(kTickPeriod, [this] { Tick(); });
}

auto simulated_cluster::ListSessions() -> void {
  for (const auto& [name, endpoint] : endpoints_.endpoints) {
    if (endpoint.is_engine && endpoint.is_up) {
      auto list = program::sessions_listed{};
      list.endpoint = name;
      list.programs.assign(endpoint.sessions.begin(), endpoint.sessions.end());
      Deliver(FirstRunningVm(), list);
    }
  }
  Schedule(kSessionsPeriod, [this] { ListSessions(); });
}

auto simulated_cluster::FirstRunningVm() const -> vm_index {
  for (auto i = vm_index{0}; i < kVmCount; ++i) {
    if (vms_[i].is_up && !vms_[i].is_paused) {
      return i;
    }
  }
  return 0;
}

}  // namespace daisywind::fault_matrix
