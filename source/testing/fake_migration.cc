#include "testing/fake_migration.h"

#include <algorithm>
#include <utility>

namespace daisywind::testing {
namespace {

using migration::endpoint_role;
using migration::order_outcome;

constexpr auto kTickInterval = duration{100ms};
constexpr auto kNetworkDelay = duration{20ms};
constexpr auto kReadTimeout = duration{1s};
constexpr auto kConfigurationDelay = duration{300ms};
// Time until every VM knows that a loaded endpoint is ready: the warm-up, one
// report interval and one decision interval.
constexpr auto kReadinessPropagation = duration{4500ms};
// Rate at which a VM reads the endpoints that it waits for, over all of them.
constexpr auto kReadsPerSecond = 5;
constexpr auto kProgressCheckInterval = duration{500ms};
// Average number of ticks from one request of a VM to the next.
constexpr auto kTicksPerRequest = 3;

auto Model() -> model_id {
  return model_id{"agent"};
}

auto Adapter() -> adapter_id {
  return adapter_id{"combos"};
}

auto Name(const std::string& prefix, int number) -> std::string {
  return prefix + std::to_string(number);
}

auto IsOld(const std::string& endpoint) -> bool {
  return endpoint.starts_with("old");
}

auto Loaded() -> migration::engine_order {
  return {{{Model(), "1"}}, {{Adapter(), "1"}}, endpoint_role::kServing};
}

auto MakeEndpoint(const std::string& name, int number)
    -> migration::wanted_endpoint {
  auto endpoint = migration::wanted_endpoint{};
  endpoint.id = endpoint_id{name};
  endpoint.address = name + ":1";
  endpoint.failure_domain =
      failure_domain_id{number % 2 == 0 ? "cordoba-a" : "rosario-a"};
  endpoint.checks_fencing = number % 2 == 0;
  endpoint.models = {Model()};
  endpoint.adapters = {Adapter()};
  return endpoint;
}

}  // namespace

fake_migration::fake_migration(migration_setup setup,
                               std::uint64_t seed,
                               planted_bugs bugs)
    : setup_(setup), random_(seed), bugs_(bugs), now_(duration{1s}) {
  wanted_.model_versions = {{Model(), "1"}};
  wanted_.adapter_versions = {{Adapter(), "1"}};
  wanted_.need = {{Model().value, setup.need}};
  wanted_.deadline = std::chrono::hours{1};
  for (auto i = 0; i < setup.old_endpoints + setup.new_endpoints; ++i) {
    const auto is_old = i < setup.old_endpoints;
    const auto name =
        is_old ? Name("old-", i) : Name("new-", i - setup.old_endpoints);
    wanted_.endpoints.push_back(MakeEndpoint(name, i));
    auto& engine =
        engines_.emplace(name, fake_engine{i % 2 == 0, store}).first->second;
    if (is_old) {
      engine.Preload(Loaded());
    }
  }
  for (auto i = 0; i < setup.vms; ++i) {
    Start(Name("vm-", i));
  }
  Patch(false);
}

auto fake_migration::Patch(bool to_new) -> void {
  ++wanted_.version;
  accepted_at_ = now_;
  replaced_since_.reset();
  vms_reporting_evacuated_.clear();
  for (auto& endpoint : wanted_.endpoints) {
    endpoint.role = IsOld(endpoint.id.value) == to_new
                        ? endpoint_role::kEmpty
                        : endpoint_role::kServing;
  }
  auto given = wanted_;
  if (bugs_.ignores_need) {
    given.need.clear();
  }
  for (const auto& [name, vm] : vms_) {
    Notify(name, vm.start, kConfigurationDelay,
           migration::wanted_changed{given, now_});
  }
}

auto fake_migration::Start(const std::string& vm) -> void {
  auto fresh = controller{};
  fresh.start = ++last_start_;
  vms_.insert_or_assign(vm, std::move(fresh));
  auto live = migration::members{vm_id{vm}, {}};
  for (auto i = 0; i < setup_.vms; ++i) {
    live.live.emplace_back(Name("vm-", i));
  }
  Notify(vm, last_start_, kTickInterval, live);
  Notify(vm, last_start_, kTickInterval,
         migration::wanted_changed{wanted_, accepted_at_});
  if (!bugs_.ignores_vm_list) {
    Notify(vm, last_start_, kTickInterval, vm_list_);
  }
}

auto fake_migration::Advance(duration time) -> void {
  const auto end = now_ + time;
  while (now_ < end) {
    now_ += kTickInterval;
    while (!actions_.empty() && actions_.begin()->first <= now_) {
      const auto action = actions_.extract(actions_.begin());
      action.mapped()();
    }
    for (auto& [name, engine] : engines_) {
      engine.Tick(now_);
    }
    for (auto& [name, vm] : vms_) {
      if (vm.is_up && !vm.is_paused) {
        Execute(name, vm.system.Tick(now_));
      }
    }
    if (setup_.sends_requests) {
      SendRequests();
    }
    Check();
  }
}

auto fake_migration::Kill(const std::string& vm) -> void {
  vms_.at(vm).is_up = false;
}

auto fake_migration::Restart(const std::string& vm) -> void {
  Start(vm);
}

auto fake_migration::Pause(const std::string& vm) -> void {
  vms_.at(vm).is_paused = true;
}

auto fake_migration::Resume(const std::string& vm) -> void {
  auto& item = vms_.at(vm);
  item.is_paused = false;
  for (auto& input : std::exchange(item.queued, {})) {
    Execute(vm, item.system.Handle(input, now_));
  }
}

auto fake_migration::RestartEngine(const std::string& endpoint) -> void {
  auto& engine = engines_.at(endpoint);
  if (engine.Serves(Model())) {
    lost_to_faults_.insert(endpoint);
  }
  engine.Restart();
}

auto fake_migration::ListAsLeaving(const std::set<std::string>& endpoints)
    -> void {
  vm_list_.leaving.clear();
  for (const auto& [name, engine] : engines_) {
    const auto is_leaving = endpoints.contains(name);
    checker_.OnListedAsLeaving(name, is_leaving, now_ + kConfigurationDelay);
    if (is_leaving) {
      vm_list_.leaving.emplace_back(name);
      lost_to_faults_.insert(name);
    }
  }
  for (const auto& [name, vm] : vms_) {
    if (!bugs_.ignores_vm_list) {
      Notify(name, vm.start, kConfigurationDelay, vm_list_);
    }
  }
}

auto fake_migration::LeaseHolder() const -> std::string {
  return lease.holder().empty() ? vms_.begin()->first : lease.holder();
}

auto fake_migration::Progress(const std::string& vm) const
    -> migration::migration_progress {
  return vms_.at(vm).system.Progress(now_);
}

auto fake_migration::IsFinished() const -> bool {
  return std::all_of(wanted_.endpoints.begin(), wanted_.endpoints.end(),
                     [&](const migration::wanted_endpoint& endpoint) {
                       const auto& engine = engines_.at(endpoint.id.value);
                       return endpoint.role == endpoint_role::kEmpty
                                  ? engine.IsEmpty()
                                  : engine.Serves(Model()) &&
                                        migration::HasLoaded(engine.Report(),
                                                             Loaded());
                     });
}

auto fake_migration::Schedule(duration delay, std::function<void()> action)
    -> void {
  actions_.emplace(now_ + delay, std::move(action));
}

auto fake_migration::Notify(const std::string& vm,
                            std::uint64_t start,
                            duration delay,
                            migration::event input) -> void {
  Schedule(delay, [this, vm, start, input = std::move(input)] {
    auto& item = vms_.at(vm);
    if (!item.is_up || item.start != start) {
      return;
    }
    if (item.is_paused) {
      item.queued.push_back(input);
      return;
    }
    Execute(vm, item.system.Handle(input, now_));
  });
}

auto fake_migration::Execute(const std::string& vm,
                             const std::vector<migration::command>& commands)
    -> void {
  for (const auto& item : commands) {
    std::visit([&](const auto& body) { Do(vm, body); }, item);
  }
}

auto fake_migration::NotifyLeaseResponse(const std::string& vm,
                                         migration::event response) -> void {
  constexpr auto kForever = std::chrono::hours{1};
  if (bugs_.ignores_lease_end) {
    if (auto* granted = std::get_if<migration::lease_granted>(&response)) {
      granted->until += kForever;
    }
  }
  const auto is_lost =
      std::holds_alternative<migration::lease_outcome_unknown>(response);
  Notify(vm, vms_.at(vm).start, is_lost ? kReadTimeout : lease.delay,
         std::move(response));
}

auto fake_migration::Do(const std::string& vm,
                        const migration::acquire_lease& item) -> void {
  NotifyLeaseResponse(vm, lease.Acquire(vm, item.time_to_live, now_));
}

auto fake_migration::Do(const std::string& vm,
                        const migration::renew_lease& item) -> void {
  NotifyLeaseResponse(vm, lease.Renew(vm, item, now_));
}

auto fake_migration::Do(const std::string& vm,
                        const migration::release_lease& item) -> void {
  lease.Release(vm, item.fence, now_);
}

auto fake_migration::Do(const std::string& vm,
                        const migration::send_order& item) -> void {
  ++order_count_;
  checker_.OnOrder(item.fence, lease.CurrentFence(now_));
  const auto start = vms_.at(vm).start;
  auto result = migration::order_result{item.endpoint, item.fence, item.version,
                                        order_outcome::kUnknown};
  if (duplicates_orders_after) {
    Schedule(*duplicates_orders_after,
             [this, item] { DeliverOrder(item, true); });
  }
  const auto is_lost = drops_orders || vms_cut_from_engines.contains(vm) ||
                       !engines_.at(item.endpoint.value).is_reachable;
  if (is_lost) {
    Notify(vm, start, kReadTimeout, result);
    return;
  }
  Schedule(kNetworkDelay, [this, item, vm, start, result]() mutable {
    result.outcome = DeliverOrder(item, false);
    if (drops_order_responses) {
      result.outcome = order_outcome::kUnknown;
    }
    Notify(vm, start, kNetworkDelay, result);
  });
}

auto fake_migration::DeliverOrder(const migration::send_order& item,
                                  bool is_late) -> order_outcome {
  auto& engine = engines_.at(item.endpoint.value);
  const auto outcome = engine.HandleOrder(item);
  if (outcome == order_outcome::kAccepted && engine.checks_fencing()) {
    checker_.OnFencedOrder(item.endpoint.value, item.fence);
  }
  if (is_late) {
    checker_.OnLateOrder(now_);
  }
  return outcome;
}

auto fake_migration::Do(const std::string& vm,
                        const migration::read_state& item) -> void {
  ++read_count_;
  const auto& name = item.endpoint.value;
  auto& controller = vms_.at(vm);
  const auto& engine = engines_.at(name);
  if (vms_cut_from_engines.contains(vm) || !engine.is_reachable) {
    Notify(vm, controller.start, kReadTimeout,
           migration::endpoint_unreachable{item.endpoint});
    return;
  }
  auto report = engine.Report();
  if (bugs_.reports_no_running_work) {
    report.running = 0;
  }
  if (bugs_.trusts_outdated_reports) {
    const auto old = controller.outdated_reports.find(name);
    if (old != controller.outdated_reports.end() && IsOld(name)) {
      report = old->second;
    } else if (migration::IsEmpty(report)) {
      controller.outdated_reports.emplace(name, report);
    }
  }
  Notify(vm, controller.start, 2 * kNetworkDelay,
         migration::engine_state{item.endpoint, report, now_});
}

auto fake_migration::Do(const std::string& vm,
                        const migration::routing_state& item) -> void {
  vms_.at(vm).is_open[item.endpoint.value] = item.accepts_new_work;
}

auto fake_migration::Do(const std::string& vm,
                        const migration::release_sessions& item) -> void {
  if (!vms_cut_from_engines.contains(vm)) {
    engines_.at(item.endpoint.value).ReleaseSessions();
  }
}

auto fake_migration::SendRequests() -> void {
  for (auto& [name, vm] : vms_) {
    if (!vm.is_up || vm.is_paused ||
        random_.UniformBelow(kTicksPerRequest) != 0 ||
        vms_cut_from_engines.contains(name)) {
      continue;
    }
    auto open = std::vector<std::string>{};
    for (const auto& [endpoint, is_open] : vm.is_open) {
      if (is_open) {
        open.push_back(endpoint);
      }
    }
    if (open.empty()) {
      continue;
    }
    const auto endpoint = open[random_.UniformBelow(open.size())];
    const auto length =
        kTickInterval * (1 + random_.UniformBelow(static_cast<std::uint64_t>(
                                 setup_.max_request_duration / kTickInterval)));
    const auto is_accepted = engines_.at(endpoint).StartRequest(
        Model(), now_ + length, random_.UniformBelow(4) == 0);
    checker_.OnRequest(endpoint, is_accepted, now_);
    if (!is_accepted) {
      Notify(name, vm.start, kNetworkDelay,
             migration::endpoint_refused{endpoint_id{endpoint}});
    }
  }
}

auto fake_migration::VmsReportingEvacuated() const -> std::set<std::string> {
  auto reporting = std::set<std::string>{};
  for (const auto& [name, vm] : vms_) {
    if (!vm.is_up || vm.is_paused) {
      continue;
    }
    const auto progress = vm.system.Progress(now_);
    if (progress.version == wanted_.version &&
        progress.is_evacuation_complete) {
      reporting.insert(name);
    }
  }
  return reporting;
}

auto fake_migration::Check() -> void {
  auto snapshot = migration_snapshot{};
  snapshot.need = setup_.need;
  snapshot.is_evacuation_complete = true;
  auto ready = std::uint32_t{0};
  for (const auto& endpoint : wanted_.endpoints) {
    const auto& name = endpoint.id.value;
    const auto& engine = engines_.at(name);
    const auto is_serving = engine.Serves(Model());
    snapshot.serving += is_serving ? 1 : 0;
    snapshot.lost_to_faults +=
        !is_serving && lost_to_faults_.contains(name) ? 1 : 0;
    snapshot.aborted_requests += engine.aborted_requests();
    const auto is_leaving = endpoint.role == endpoint_role::kEmpty;
    snapshot.is_evacuation_complete =
        snapshot.is_evacuation_complete && (!is_leaving || engine.IsEmpty());
    const auto is_ready = !is_leaving && is_serving &&
                          migration::HasLoaded(engine.Report(), Loaded());
    ready += is_ready ? 1 : 0;
  }
  if (now_.time_since_epoch() % kProgressCheckInterval == duration{0}) {
    vms_reporting_evacuated_ = VmsReportingEvacuated();
  }
  snapshot.vms_reporting_evacuated = vms_reporting_evacuated_;
  checker_.OnStep(now_, snapshot);
  if (ready < setup_.need) {
    replaced_since_.reset();
  } else if (!replaced_since_) {
    const auto interval =
        static_cast<duration::rep>(engines_.size()) / kReadsPerSecond;
    replaced_since_ = now_ + kReadinessPropagation +
                      duration{1s} * std::max<duration::rep>(0, interval - 1);
  }
  if (replaced_since_ && now_ >= *replaced_since_) {
    // The new endpoints have replaced those lost to faults.
    lost_to_faults_.clear();
  }
  for (const auto& endpoint : wanted_.endpoints) {
    const auto is_leaving = endpoint.role == endpoint_role::kEmpty;
    checker_.OnReplaced(endpoint.id.value,
                        is_leaving ? replaced_since_ : std::nullopt);
  }
}

}  // namespace daisywind::testing
