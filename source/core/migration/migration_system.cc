#include "migration/migration_system.h"

#include <algorithm>
#include <utility>

#include "migration/order_planner.h"
#include "migration/routing_rules.h"

namespace daisywind::migration {
namespace {

auto IsLeaving(const endpoint_row& row) -> bool {
  return !ShouldServe(row) && !row.is_retained;
}

auto ServesAny(const endpoint_row& row, const std::set<std::string>& names)
    -> bool {
  const auto served = ServedNames(row.wanted);
  return std::any_of(
      served.begin(), served.end(),
      [&](const std::string& name) { return names.contains(name); });
}

}  // namespace

migration_system::migration_system(migration_options options)
    : options_(options), lease_(options) {}

auto migration_system::Handle(const event& input, instant now)
    -> std::vector<command> {
  std::visit([&](const auto& body) { On(body, now); }, input);
  return TakeCommands();
}

auto migration_system::Tick(instant now) -> std::vector<command> {
  lease_.Tick(now, commands_);
  if (has_changed_ || now >= next_decision_) {
    has_changed_ = false;
    next_decision_ = now + options_.decision_interval;
    UpdateRouting(now);
    UpdateMigratingNames(now);
    SendOrders(now);
    ReleaseSessions(now);
    RemoveObsoleteEndpoints(now);
  }
  ReadStates(now);
  return TakeCommands();
}

auto migration_system::Progress(instant now) const -> migration_progress {
  auto progress =
      BuildProgress(endpoints_, wanted_, accepted_at_, now, options_);
  progress.is_reconciler = lease_.CanSendOrders(now);
  progress.fence = lease_.fence();
  return progress;
}

auto migration_system::On(const wanted_changed& input, instant now) -> void {
  if (input.wanted.version <= wanted_.version) {
    return;
  }
  wanted_ = input.wanted;
  accepted_at_ = input.accepted_at;
  ApplyWanted(endpoints_, wanted_, now);
  has_changed_ = true;
}

auto migration_system::On(const engine_state& input, instant now) -> void {
  auto* row = FindEndpoint(input.endpoint);
  if (row == nullptr) {
    return;
  }
  row->read_sent_at.reset();
  const auto before = row->observed;
  ApplyReport(*row, input, options_);
  has_changed_ = has_changed_ || !before || before->report != input.report;
  if (lease_.CanSendOrders(now)) {
    lease_.OnFenceSeen(input.report.fence);
  }
}

auto migration_system::On(const endpoint_unreachable& input, instant now)
    -> void {
  if (auto* row = FindEndpoint(input.endpoint)) {
    row->read_sent_at.reset();
    ApplyUnreachable(*row, now);
  }
}

auto migration_system::On(const endpoint_refused& input, instant now) -> void {
  auto* row = FindEndpoint(input.endpoint);
  if (row == nullptr) {
    return;
  }
  row->refused_at = now;
  row->next_read = now;
  has_changed_ = true;
}

auto migration_system::On(const order_result& input, instant now) -> void {
  if (input.outcome == order_outcome::kStaleFence &&
      input.fence == lease_.fence()) {
    lease_.OnFenceSeen(input.fence + 1);
  }
  auto* row = FindEndpoint(input.endpoint);
  if (row == nullptr || !row->last_order ||
      row->last_order->fence != input.fence ||
      row->last_order->version != input.version) {
    return;
  }
  // An order of unknown outcome may still arrive.
  row->last_order->is_answered = input.outcome != order_outcome::kUnknown;
  row->next_read = now;
}

auto migration_system::On(const vm_list& input, instant /*now*/) -> void {
  ApplyVmList(endpoints_, input);
  has_changed_ = true;
}

auto migration_system::On(const members& input, instant /*now*/) -> void {
  live_vms_ = std::max<std::size_t>(1, input.live.size());
  lease_.On(input);
}

auto migration_system::On(const lease_granted& input, instant now) -> void {
  lease_.On(input, now);
}

auto migration_system::On(const lease_held_by_other& input, instant /*now*/)
    -> void {
  lease_.On(input);
}

auto migration_system::On(const lease_lost& input, instant /*now*/) -> void {
  lease_.On(input);
}

auto migration_system::On(const lease_outcome_unknown& input, instant /*now*/)
    -> void {
  lease_.On(input);
}

auto migration_system::On(const stopping& /*input*/, instant /*now*/) -> void {
  lease_.Stop(commands_);
}

auto migration_system::UpdateRouting(instant now) -> void {
  MarkRetainedEndpoints(endpoints_, wanted_, now, options_);
  for (auto& [id, row] : endpoints_) {
    const auto decided = DecideRouting(row, now, options_);
    if (row.routing == decided) {
      continue;
    }
    const auto was_open = row.routing && row.routing->accepts_new_work;
    if (!decided.accepts_new_work && (was_open || !row.routing)) {
      row.closed_since = now;
    }
    row.routing = decided;
    commands_.emplace_back(decided);
  }
}

auto migration_system::UpdateMigratingNames(instant now) -> void {
  auto names = std::set<std::string>{};
  for (const auto& [id, row] : endpoints_) {
    if (!ShouldServe(row) && !IsDone(row, wanted_, now, options_)) {
      names.merge(NamesServed(row));
    }
  }
  if (!std::includes(migrating_names_.begin(), migrating_names_.end(),
                     names.begin(), names.end())) {
    for (auto& [id, row] : endpoints_) {
      if (ServesAny(row, names)) {
        row.next_read = std::min(row.next_read, now);
      }
    }
  }
  migrating_names_ = std::move(names);
  read_rate_counts_.clear();
  for (const auto& [id, row] : endpoints_) {
    ++read_rate_counts_[ReadRateFor(row, now)];
  }
}

auto migration_system::ReadStates(instant now) -> void {
  auto reads = std::uint32_t{0};
  auto row = endpoints_.upper_bound(read_cursor_);
  for (auto remaining = endpoints_.size();
       remaining > 0 && reads < options_.max_reads_per_tick; --remaining) {
    if (row == endpoints_.end()) {
      row = endpoints_.begin();
    }
    if (ReadState(row->second, now)) {
      ++reads;
      read_cursor_ = row->first;
    }
    ++row;
  }
}

auto migration_system::ReadState(endpoint_row& row, instant now) -> bool {
  if (row.read_sent_at && now >= *row.read_sent_at + options_.read_timeout) {
    row.read_sent_at.reset();
    ApplyUnreachable(row, now);
  }
  if (row.read_sent_at || now < row.next_read) {
    return false;
  }
  const auto interval = ReadInterval(row, now);
  row.next_read = now + interval;
  row.read_interval = interval;
  row.read_sent_at = now;
  commands_.emplace_back(
      read_state{row.wanted.id, row.wanted.address, row.wanted.kind});
  return true;
}

auto migration_system::ReadRateFor(const endpoint_row& row, instant now) const
    -> read_rate {
  const auto has_new_order =
      row.last_order &&
      (!row.observed || row.observed->asked_at <= row.last_order->sent_at);
  if (has_new_order) {
    return read_rate::kActive;
  }
  const auto phase = PhaseOf(row, wanted_, now, options_);
  if (phase == endpoint_phase::kWaitingToLoad ||
      phase == endpoint_phase::kRetained) {
    return read_rate::kWaiting;
  }
  if (!IsDone(row, wanted_, now, options_)) {
    return read_rate::kActive;
  }
  return ServesAny(row, migrating_names_) ? read_rate::kWaiting
                                          : read_rate::kSettled;
}

auto migration_system::ReadInterval(const endpoint_row& row, instant now) const
    -> duration {
  const auto rate = ReadRateFor(row, now);
  const auto interval =
      rate == read_rate::kActive    ? options_.active_read_interval
      : rate == read_rate::kWaiting ? options_.waiting_read_interval
                                    : options_.settled_read_interval;
  const auto counted = read_rate_counts_.find(rate);
  const auto count = counted == read_rate_counts_.end() ? 0 : counted->second;
  const auto min_interval =
      duration{duration{1s}.count() *
               static_cast<duration::rep>(count / options_.reads_per_second)};
  if (lease_.fence() != 0) {
    return std::max(interval, min_interval);
  }
  const auto slowdown = static_cast<duration::rep>(
      live_vms_ / std::max(1U, options_.readers_at_full_rate));
  return std::max<duration>(interval * std::max<duration::rep>(1, slowdown),
                            min_interval);
}

auto migration_system::ReleaseSessions(instant now) -> void {
  for (auto& [id, row] : endpoints_) {
    const auto is_due = IsLeaving(row) && now >= row.next_release &&
                        row.observed && row.observed->report.sessions > 0;
    if (is_due) {
      row.next_release = now + options_.release_interval;
      commands_.emplace_back(release_sessions{id});
    }
  }
}

auto migration_system::SendOrders(instant now) -> void {
  if (!lease_.CanSendOrders(now)) {
    return;
  }
  const auto fence = lease_.fence();
  const auto authority = order_authority{fence, lease_.granted_at()};
  auto orders = PlanOrders(endpoints_, wanted_, authority, now, options_);
  if (orders.size() > options_.max_orders_per_tick) {
    orders.resize(options_.max_orders_per_tick);
    has_changed_ = true;
  }
  for (const auto& order : orders) {
    auto& row = endpoints_.at(order.endpoint);
    const auto is_repeated = row.last_order &&
                             row.last_order->wanted == order.wanted &&
                             row.last_order->fence == fence;
    const auto attempts = is_repeated ? row.last_order->attempts + 1 : 1;
    row.last_order = sent_order{order.wanted, fence, wanted_.version,    now,
                                attempts,     false, order.is_disruptive};
    if (order.wanted.role == endpoint_role::kServing) {
      row.idle_since.reset();
    }
    commands_.emplace_back(send_order{order.endpoint, row.wanted.address, fence,
                                      wanted_.version, order.wanted,
                                      lease_.SendDeadline()});
  }
}

auto migration_system::RemoveObsoleteEndpoints(instant now) -> void {
  std::erase_if(endpoints_, [&](const auto& item) {
    const auto& row = item.second;
    if (row.is_configured) {
      return false;
    }
    const auto is_gone =
        row.unreachable_since &&
        now - *row.unreachable_since >= options_.unreachable_removal_delay;
    return is_gone || IsDone(row, wanted_, now, options_);
  });
}

auto migration_system::FindEndpoint(const endpoint_id& id) -> endpoint_row* {
  const auto found = endpoints_.find(id);
  return found == endpoints_.end() ? nullptr : &found->second;
}

auto migration_system::TakeCommands() -> std::vector<command> {
  return std::exchange(commands_, {});
}

}  // namespace daisywind::migration
