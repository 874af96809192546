#include "membership/membership_system.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace daisywind::membership {
namespace {

constexpr std::size_t kJoinFanout = 3;
constexpr std::size_t kLeaveFanout = 8;
constexpr std::size_t kMaxPingsPerRead = 8;
constexpr std::size_t kMaxDiscoveredAddresses = 64;
constexpr auto kDiscoveryRetryDelay = duration{5s};
constexpr auto kLeaseTtlIntervals = 3;

auto Scale(duration time, double factor) -> duration {
  return duration{
      static_cast<duration::rep>(static_cast<double>(time.count()) * factor)};
}

}  // namespace

membership_system::membership_system(membership_options options,
                                     std::uint64_t seed)
    : options_(options), random_(seed) {}

auto membership_system::Handle(const event& input, instant now)
    -> std::vector<command> {
  if (has_started_ || std::holds_alternative<started>(input)) {
    std::visit([&](const auto& body) { On(body, now); }, input);
  }
  return TakeCommands();
}

auto membership_system::Tick(instant now) -> std::vector<command> {
  if (!IsRunning()) {
    return TakeCommands();
  }
  CompensatePause(now);
  CheckProbes(now);
  CheckSuspicions(now);
  ProbeNextMember(now);
  JoinIfIsolated(now);
  SendSync(now);
  TryReconnect(now);
  RunDiscovery(now);
  return TakeCommands();
}

auto membership_system::Members() const -> member_list {
  auto live = members_.Live();
  if (IsRunning()) {
    const auto place = std::lower_bound(
        live.begin(), live.end(), self_,
        [](const member& a, const member& b) { return a.ref.vm < b.ref.vm; });
    live.insert(place, self_);
  }
  return live;
}

auto membership_system::IsRunning() const -> bool {
  return has_started_ && !is_leaving_ && !is_superseded_;
}

auto membership_system::On(const started& input, instant now) -> void {
  self_ = input.self;
  self_.state = member_state::kAlive;
  seed_addresses_ = input.seed_addresses;
  has_started_ = true;
  has_changed_ = true;
  last_tick_ = now;
  // Random first delays spread the timers of processes that start at the same
  // time.
  next_probe_ = now + Scale(options_.probe_interval, random_.UniformDouble());
  next_sync_ = now + Scale(options_.sync_interval, random_.UniformDouble());
  next_reconnect_ =
      now + Scale(options_.reconnect_interval, random_.UniformDouble());
  next_join_ = now;
  next_lease_ = now;
  next_read_ = now;
}

auto membership_system::On(const kv_members& input, instant now) -> void {
  auto unknown = std::vector<member>{};
  discovered_addresses_.clear();
  for (const auto& record : input.members) {
    if (record.ref.vm == self_.ref.vm) {
      HandleSelfRecord(record);
      continue;
    }
    if (discovered_addresses_.size() < kMaxDiscoveredAddresses) {
      discovered_addresses_.push_back(record.address);
    }
    const auto* row = members_.Find(record.ref.vm);
    if (row == nullptr || row->record.ref.run < record.ref.run) {
      unknown.push_back(record);
    }
  }
  if (members_.CountLive() == 0) {
    next_join_ = now;
    return;
  }
  for (auto i = std::size_t{0}; i < kMaxPingsPerRead && !unknown.empty(); ++i) {
    const auto pick = random_.UniformBelow(unknown.size());
    SendPing(unknown[pick], now, false);
    unknown.erase(unknown.begin() + static_cast<std::ptrdiff_t>(pick));
  }
}

auto membership_system::On(const kv_unavailable& /*input*/, instant now)
    -> void {
  const auto retry =
      now + Scale(kDiscoveryRetryDelay, 1 + random_.UniformDouble());
  next_lease_ = std::min(next_lease_, retry);
  if (members_.CountLive() == 0) {
    next_read_ = std::min(next_read_, retry);
  }
}

auto membership_system::On(const leaving& /*input*/, instant /*now*/) -> void {
  if (!IsRunning()) {
    return;
  }
  is_leaving_ = true;
  self_.state = member_state::kLeft;
  for (const auto& peer :
       members_.SampleAlive(random_, kLeaveFanout, self_.ref.vm)) {
    Send(peer.address, peer.ref, leave{});
  }
  commands_.emplace_back(withdraw_lease{});
}

auto membership_system::CompensatePause(instant now) -> void {
  const auto gap = now - last_tick_;
  last_tick_ = now;
  if (gap > options_.pause_threshold) {
    probes_.Clear();
    members_.ExtendSuspicions(gap);
  }
}

auto membership_system::ProbeNextMember(instant now) -> void {
  if (now < next_probe_) {
    return;
  }
  next_probe_ = now + options_.probe_interval;
  members_.PruneDead(now, options_.dead_member_retention);
  PingSuspectedMembers(now);
  if (const auto target = members_.NextToProbe(random_)) {
    SendPing(*target, now, true);
  }
}

auto membership_system::PingSuspectedMembers(instant now) -> void {
  std::erase_if(own_suspicions_, [&](const vm_ref& ref) {
    const auto* row = members_.Find(ref.vm);
    return row == nullptr || row->record.ref != ref ||
           row->record.state != member_state::kSuspect;
  });
  for (const auto& ref : own_suspicions_) {
    SendPing(members_.Find(ref.vm)->record, now, false);
  }
}

auto membership_system::CheckProbes(instant now) -> void {
  for (const auto& item : probes_.MarkDueForRelay(now - options_.ack_timeout)) {
    for (const auto& relay : members_.SampleAlive(random_, options_.relay_count,
                                                  item.target.ref.vm)) {
      Send(relay.address, relay.ref, ping_req{item.sequence, item.target});
    }
  }
  for (const auto& item : probes_.TakeExpired(now - options_.probe_interval)) {
    if (!item.requester) {
      Suspect(item.target.ref, now);
    }
  }
}

auto membership_system::CheckSuspicions(instant now) -> void {
  for (auto record : members_.SuspectedBefore(now - SuspicionTime())) {
    record.state = member_state::kDead;
    MergeRecord(record, now);
  }
}

auto membership_system::JoinIfIsolated(instant now) -> void {
  if (now < next_join_ || members_.CountLive() > 0) {
    return;
  }
  next_join_ = now + options_.join_interval;
  auto addresses = BootstrapAddresses();
  for (auto i = std::size_t{0}; i < kJoinFanout && !addresses.empty(); ++i) {
    const auto pick = random_.UniformBelow(addresses.size());
    Send(addresses[pick], vm_ref{}, join{});
    addresses.erase(addresses.begin() + static_cast<std::ptrdiff_t>(pick));
  }
}

auto membership_system::SendSync(instant now) -> void {
  if (now < next_sync_) {
    return;
  }
  next_sync_ = now + options_.sync_interval;
  for (const auto& peer : members_.SampleAlive(random_, 1, self_.ref.vm)) {
    Send(peer.address, peer.ref, sync{members_.LiveMembersDigest(self_)});
  }
}

auto membership_system::TryReconnect(instant now) -> void {
  if (now < next_reconnect_) {
    return;
  }
  next_reconnect_ = now + options_.reconnect_interval;
  if (const auto dead = members_.SampleDead(random_)) {
    SendPing(*dead, now, false);
  }
  // Groups of VMs that started separately know each other only by these
  // bootstrap addresses.
  const auto addresses = BootstrapAddresses();
  if (addresses.empty() || members_.CountLive() == 0) {
    return;
  }
  auto target = member{};
  target.address = addresses[random_.UniformBelow(addresses.size())];
  if (!members_.IsAddressInUse(target.address)) {
    SendPing(target, now, false);
  }
}

auto membership_system::RunDiscovery(instant now) -> void {
  const auto fleet = static_cast<double>(members_.CountLive() + 1);
  if (now >= next_lease_) {
    next_lease_ = now + LeaseInterval();
    commands_.emplace_back(
        publish_lease{self_, LeaseInterval() * kLeaseTtlIntervals});
  }
  if (now >= next_read_) {
    const auto interval = Scale(options_.fleet_read_interval, fleet);
    next_read_ = now + Scale(interval, random_.UniformDouble() + 0.5);
    if (members_.CountLive() == 0) {
      next_read_ = now + kDiscoveryRetryDelay;
    }
    commands_.emplace_back(read_members{});
  }
}

auto membership_system::BootstrapAddresses() const -> std::vector<std::string> {
  auto addresses = seed_addresses_;
  addresses.insert(addresses.end(), discovered_addresses_.begin(),
                   discovered_addresses_.end());
  std::sort(addresses.begin(), addresses.end());
  addresses.erase(std::unique(addresses.begin(), addresses.end()),
                  addresses.end());
  std::erase(addresses, self_.address);
  return addresses;
}

auto membership_system::LogFleetSize() const -> double {
  return std::log2(static_cast<double>(members_.CountLive() + 2));
}

auto membership_system::SuspicionTime() const -> duration {
  return std::max(options_.min_suspicion_time,
                  Scale(options_.probe_interval,
                        options_.suspicion_factor * LogFleetSize()));
}

auto membership_system::LeaseInterval() const -> duration {
  const auto fleet = static_cast<double>(members_.CountLive() + 1);
  return std::max(options_.min_lease_interval,
                  Scale(options_.fleet_lease_interval, fleet));
}

auto membership_system::TakeCommands() -> std::vector<command> {
  if (has_changed_) {
    has_changed_ = false;
    commands_.emplace_back(members_changed{Members()});
  }
  return std::exchange(commands_, {});
}

}  // namespace daisywind::membership
