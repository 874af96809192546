#include "testing/fake_fleet.h"

#include <algorithm>
#include <utility>

namespace daisywind::testing {
namespace {

constexpr auto kTickInterval = duration{100ms};
constexpr auto kStep = duration{1ms};
constexpr auto kDelayInRegion = duration{1ms};
constexpr auto kDelayBetweenRegions = duration{20ms};

auto RegionOf(const std::string& domain) -> std::string {
  return domain.substr(0, domain.find('-'));
}

}  // namespace

fake_fleet::fake_fleet(membership::membership_options options,
                       std::uint64_t seed)
    : options_(options),
      random_(seed),
      now_(duration{1s}),
      tick_phases_(static_cast<std::size_t>(kTickInterval / kStep)) {}

auto fake_fleet::Start(const std::string& vm,
                       const std::string& domain,
                       const std::vector<std::string>& seeds,
                       const std::string& address) -> void {
  if (vms_.erase(vm) == 0) {
    tick_phases_[vms_.size() % tick_phases_.size()].push_back(vm);
  }
  auto system = membership::membership_system{options_, random_.Next()};
  auto& item = vms_.emplace(vm, fake_vm{std::move(system)}).first->second;
  item.self.ref = vm_ref{vm_id{vm}, ++last_incarnation_};
  item.self.address = address.empty() ? vm + ":1" : address;
  item.self.failure_domain = failure_domain_id{domain};
  item.self.region = region_id{RegionOf(domain)};
  vms_by_address_[item.self.address] = vm;
  HandleEvent(item, membership::started{item.self, seeds});
}

auto fake_fleet::Kill(const std::string& vm) -> void {
  vms_.at(vm).is_running = false;
}

auto fake_fleet::Leave(const std::string& vm) -> void {
  auto& item = vms_.at(vm);
  HandleEvent(item, membership::leaving{});
  item.is_running = false;
}

auto fake_fleet::Pause(const std::string& vm) -> void {
  vms_.at(vm).is_paused = true;
}

auto fake_fleet::Resume(const std::string& vm) -> void {
  auto& item = vms_.at(vm);
  item.is_paused = false;
  for (auto& content : std::exchange(item.delayed, {})) {
    HandleEvent(item, membership::peer_message{std::move(content)});
  }
}

auto fake_fleet::Advance(duration time) -> void {
  const auto end = now_ + time;
  while (now_ < end) {
    now_ += kStep;
    while (!network_.empty() && network_.begin()->first <= now_) {
      auto node = network_.extract(network_.begin());
      Deliver(node.mapped().first, node.mapped().second);
    }
    TickAll();
  }
}

auto fake_fleet::TickAll() -> void {
  // The VMs tick at staggered times instead of all at once.
  const auto phase = now_.time_since_epoch() % kTickInterval / kStep;
  for (const auto& name : tick_phases_[static_cast<std::size_t>(phase)]) {
    auto& vm = vms_.at(name);
    if (vm.is_running && !vm.is_paused) {
      Execute(vm, vm.system.Tick(now_));
    }
  }
}

auto fake_fleet::HandleEvent(fake_vm& vm, const membership::event& input)
    -> void {
  Execute(vm, vm.system.Handle(input, now_));
}

auto fake_fleet::Execute(fake_vm& vm,
                         const std::vector<membership::command>& commands)
    -> void {
  for (const auto& item : commands) {
    if (const auto* send = std::get_if<membership::send_message>(&item)) {
      Transmit(vm, *send);
    } else if (const auto* dead = std::get_if<membership::member_dead>(&item)) {
      failure_reports_.push_back({now_, vm.self.ref.vm, dead->ref, true});
    } else if (const auto* suspect =
                   std::get_if<membership::member_suspected>(&item)) {
      failure_reports_.push_back({now_, vm.self.ref.vm, suspect->ref, false});
    } else if (const auto* lease =
                   std::get_if<membership::publish_lease>(&item)) {
      Publish(vm, *lease);
    } else if (std::holds_alternative<membership::read_members>(item)) {
      RespondToRead(vm);
    } else if (std::holds_alternative<membership::withdraw_lease>(item)) {
      leases_.erase(vm.self.ref.vm);
    } else if (std::holds_alternative<membership::self_superseded>(item)) {
      superseded_.insert(vm.self.ref);
    }
  }
}

auto fake_fleet::Transmit(const fake_vm& from,
                          const membership::send_message& item) -> void {
  ++counts_.messages;
  counts_.bytes += message_sizer_ ? message_sizer_(item.content) : 0;
  const auto to = vms_by_address_.find(item.address);
  if (to == vms_by_address_.end() || random_.UniformDouble() < message_loss_) {
    return;
  }
  const auto& region = vms_.at(to->second).self.region;
  if (ArePartitioned(from.self.region, region)) {
    return;
  }
  const auto delay =
      region == from.self.region ? kDelayInRegion : kDelayBetweenRegions;
  network_.emplace(now_ + delay, std::pair{item.address, item.content});
}

auto fake_fleet::Deliver(const std::string& address,
                         const membership::message& content) -> void {
  auto& vm = vms_.at(vms_by_address_.at(address));
  if (!vm.is_running) {
    return;
  }
  if (vm.is_paused) {
    vm.delayed.push_back(content);
    return;
  }
  HandleEvent(vm, membership::peer_message{content});
}

auto fake_fleet::Publish(fake_vm& vm, const membership::publish_lease& item)
    -> void {
  ++counts_.service_calls;
  if (is_service_up_) {
    leases_[vm.self.ref.vm] = lease{item.self, now_ + item.time_to_live};
  }
  if (!is_service_up_ || are_service_responses_lost_) {
    HandleEvent(vm, membership::kv_unavailable{});
  }
}

auto fake_fleet::RespondToRead(fake_vm& vm) -> void {
  ++counts_.service_calls;
  if (!is_service_up_ || are_service_responses_lost_) {
    HandleEvent(vm, membership::kv_unavailable{});
    return;
  }
  auto response = membership::kv_members{};
  std::erase_if(leases_, [&](const auto& item) {
    return item.second.expires_at <= now_;
  });
  for (const auto& [name, item] : leases_) {
    response.members.push_back(item.record);
  }
  HandleEvent(vm, response);
}

auto fake_fleet::ArePartitioned(const region_id& a, const region_id& b) const
    -> bool {
  return a != b && (partitioned_regions_.contains(a.value) ||
                    partitioned_regions_.contains(b.value));
}

auto fake_fleet::VisibleMembers(const std::string& vm) const
    -> std::set<std::string> {
  auto names = std::set<std::string>{};
  for (const auto& record : vms_.at(vm).system.Members()) {
    names.insert(record.ref.vm.value);
  }
  return names;
}

auto fake_fleet::HasConverged() const -> bool {
  auto expected = membership::member_list{};
  for (const auto& [name, vm] : vms_) {
    if (vm.is_running) {
      expected.push_back(vm.self);
    }
  }
  return std::all_of(vms_.begin(), vms_.end(), [&](const auto& item) {
    const auto seen = item.second.system.Members();
    return !item.second.is_running ||
           std::equal(seen.begin(), seen.end(), expected.begin(),
                      expected.end(), [](const auto& a, const auto& b) {
                        return a.ref == b.ref &&
                               a.state == membership::member_state::kAlive;
                      });
  });
}

auto fake_fleet::Ref(const std::string& vm) const -> vm_ref {
  return vms_.at(vm).self.ref;
}

auto fake_fleet::IsSuperseded(const vm_ref& ref) const -> bool {
  return superseded_.contains(ref);
}

auto fake_fleet::LeaseCount() const -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      leases_.begin(), leases_.end(),
      [&](const auto& item) { return item.second.expires_at > now_; }));
}

auto fake_fleet::ResetCounts() -> void {
  counts_ = {};
}

}  // namespace daisywind::testing
