#include "fault_matrix/world.h"

#include <algorithm>
#include <utility>

namespace daisywind::fault_matrix {
namespace {

constexpr auto kTickPeriod = duration{100ms};
constexpr auto kDetectionDelay = duration{1s};
constexpr auto kRestartDelay = duration{5s};
constexpr auto kPartTime = duration{8s};
constexpr auto kDrainBound = duration{5s};
constexpr auto kSessionsPeriod = duration{10s};
constexpr std::size_t kListedPrograms = 8;

}  // namespace

world::world(const program::program_options& options,
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
    vm.place.vm = vm_ref{vm_id{"vm-" + std::to_string(i + 1)}, 0};
    vm.place.failure_domain = failure_domain_id{std::string{domain}};
    vm.place.region = region_id{domain == "c" ? "south" : "north"};
    vms_.push_back(std::move(vm));
  }
  for (auto i = vm_index{0}; i < kVmCount; ++i) {
    StartProcess(i);
  }
  PublishMembers();
  Schedule(kTickPeriod, [this] { Tick(); });
  Schedule(kSessionsPeriod, [this] { ListSessions(); });
}

auto world::SetSinks(reply_sink replies, death_sink deaths, hangup_sink hangups)
    -> void {
  replies_ = std::move(replies);
  deaths_ = std::move(deaths);
  hangups_ = std::move(hangups);
}

auto world::Schedule(duration delay, std::function<void()> action) -> void {
  queue_.emplace(queue_entry{now_ + delay, next_sequence_++},
                 std::move(action));
}

auto world::RunUntil(instant end, const std::function<bool()>& is_done)
    -> void {
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

auto world::Note(outside_event event) -> void {
  event.at = now_;
  history_.push_back(std::move(event));
}

auto world::NextEntry() -> vm_index {
  for (auto i = vm_index{0}; i < kVmCount; ++i) {
    next_entry_ = (next_entry_ + 1) % kVmCount;
    if (vms_[next_entry_].is_up) {
      break;
    }
  }
  return next_entry_;
}

auto world::CurrentSet() const -> program::replica_set {
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

auto world::FindVm(const vm_ref& ref) const -> std::optional<vm_index> {
  for (auto i = vm_index{0}; i < kVmCount; ++i) {
    if (vms_[i].place.vm == ref) {
      return i;
    }
  }
  return std::nullopt;
}

auto world::StartProcess(vm_index vm) -> void {
  auto& process = vms_[vm];
  ++process.place.vm.run;
  process.system = std::make_unique<program::program_system>(
      options_, process.place.vm, random_.Next());
  process.is_up = true;
  process.is_paused = false;
  process.is_leaving = false;
  process.backlog.clear();
  process.held.clear();
}

auto world::KillProcess(vm_index vm) -> void {
  auto& process = vms_[vm];
  if (!process.is_up) {
    return;
  }
  process.is_up = false;
  process.system.reset();
  process.held.clear();
  process.backlog.clear();
  if (deaths_) {
    Schedule(duration{1ms}, [this, vm] { deaths_(vm); });
  }
  ListLater(vm, false);
  Schedule(kRestartDelay, [this, vm] {
    StartProcess(vm);
    ListLater(vm, true);
  });
}

auto world::PauseProcess(vm_index vm) -> void {
  auto& process = vms_[vm];
  if (!process.is_up || process.is_paused) {
    return;
  }
  process.is_paused = true;
  const auto ref = process.place.vm;
  Schedule(kPauseTime, [this, vm, ref] {
    if (vms_[vm].place.vm == ref) {
      ResumeProcess(vm);
    }
  });
}

auto world::ResumeProcess(vm_index vm) -> void {
  auto& process = vms_[vm];
  if (!process.is_up || !process.is_paused) {
    return;
  }
  process.is_paused = false;
  // A process wakes in the middle of what it did, before it reads anything.
  CarryOut(vm);
  while (process.is_up && !process.is_paused && !process.backlog.empty()) {
    const auto input = std::move(process.backlog.front());
    process.backlog.pop_front();
    Take(vm, process.system->Handle(input, now_));
  }
}

auto world::StopGracefully(vm_index vm) -> void {
  if (!vms_[vm].is_up || vms_[vm].is_paused) {
    return;
  }
  vms_[vm].is_leaving = true;
  PublishMembers();
  const auto ref = vms_[vm].place.vm;
  Deliver(vm, program::shutdown_requested{});
  Schedule(kDrainBound, [this, vm, ref] {
    if (vms_[vm].place.vm == ref) {
      KillProcess(vm);
    }
  });
}

auto world::RestartAll() -> void {
  auto delay = duration{};
  for (auto i = vm_index{0}; i < kVmCount; ++i) {
    Schedule(delay, [this, i] { StopGracefully(i); });
    delay += kDrainBound + kRestartDelay + 2 * kDetectionDelay;
  }
}

auto world::ListLater(vm_index vm, bool is_listed) -> void {
  Schedule(kDetectionDelay, [this, vm, is_listed] {
    const auto is_true = vms_[vm].is_up == is_listed || vms_[vm].is_paused;
    if (is_true) {
      vms_[vm].is_listed = is_listed;
      PublishMembers();
    }
  });
}

auto world::PublishMembers() -> void {
  auto change = program::members_changed{};
  for (const auto& vm : vms_) {
    if (vm.is_listed) {
      change.members.push_back(vm.place);
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

auto world::Part(const std::vector<link>& links) -> void {
  for (const auto& item : links) {
    parted_.insert(item);
    parted_.insert({item.second, item.first});
  }
  Schedule(kPartTime, [this, links] {
    for (const auto& item : links) {
      parted_.erase(item);
      parted_.erase({item.second, item.first});
    }
  });
}

auto world::Isolate(vm_index vm) -> void {
  auto links = std::vector<link>{};
  for (auto i = vm_index{0}; i < kVmCount; ++i) {
    if (i != vm) {
      links.emplace_back(vm, i);
    }
  }
  Part(links);
}

auto world::PartRegions() -> void {
  auto links = std::vector<link>{};
  for (auto i = vm_index{0}; i < kVmCount; ++i) {
    for (auto j = vm_index{0}; j < i; ++j) {
      if (vms_[i].place.region != vms_[j].place.region) {
        links.emplace_back(i, j);
      }
    }
  }
  Part(links);
}

auto world::Deliver(vm_index vm, const program::event& input) -> void {
  auto& process = vms_[vm];
  if (!process.is_up) {
    return;
  }
  if (process.is_paused) {
    process.backlog.push_back(input);
    return;
  }
  if (std::holds_alternative<program::call_arrived>(input)) {
    const auto effect = Strike(call_step::kArrival, {vm, {}, {}});
    if (!process.is_up) {
      return;
    }
    if (effect.pauses_before) {
      PauseProcess(vm);
      process.backlog.push_back(input);
      return;
    }
    Take(vm, process.system->Handle(input, now_));
    if (effect.dies_after) {
      KillProcess(vm);
    }
    if (effect.pauses_after) {
      PauseProcess(vm);
    }
    return;
  }
  Take(vm, process.system->Handle(input, now_));
}

auto world::Take(vm_index vm, std::vector<program::command> commands) -> void {
  auto& held = vms_[vm].held;
  for (auto& item : commands) {
    held.push_back(std::move(item));
  }
  CarryOut(vm);
}

auto world::CarryOut(vm_index vm) -> void {
  auto& process = vms_[vm];
  while (process.is_up && !process.is_paused && !process.held.empty()) {
    const auto item = std::move(process.held.front());
    process.held.pop_front();
    Dispatch(vm, item);
  }
}

auto world::Tick() -> void {
  for (auto i = vm_index{0}; i < kVmCount; ++i) {
    if (vms_[i].is_up && !vms_[i].is_paused) {
      Take(i, vms_[i].system->Tick(now_));
    }
  }
  Schedule(kTickPeriod, [this] { Tick(); });
}

// Each engine is listed by one process that is up.
auto world::ListSessions() -> void {
  for (const auto& [name, endpoint] : endpoints_.endpoints) {
    if (endpoint.is_engine && endpoint.is_up) {
      auto list = program::sessions_listed{};
      list.endpoint = name;
      list.programs.assign(endpoint.sessions.begin(), endpoint.sessions.end());
      Deliver(FirstUp(), list);
    }
  }
  Schedule(kSessionsPeriod, [this] { ListSessions(); });
}

auto world::FirstUp() const -> vm_index {
  for (auto i = vm_index{0}; i < kVmCount; ++i) {
    if (vms_[i].is_up && !vms_[i].is_paused) {
      return i;
    }
  }
  return 0;
}

}  // namespace daisywind::fault_matrix
