#include "gateway/node.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "common/digest.h"
#include "common/logging.h"
#include "common/random.h"
#include "configuration_wire/codec.h"
#include "gateway/admin_api.h"
#include "gateway/attempt_runner.h"
#include "gateway/bearer_keys.h"
#include "gateway/caller_api.h"
#include "gateway/configuration_adapter.h"
#include "gateway/conversions.h"
#include "gateway/endpoint_calls.h"
#include "gateway/endpoint_directory.h"
#include "gateway/endpoint_poller.h"
#include "gateway/gateway_settings.h"
#include "gateway/lease_keeper.h"
#include "gateway/membership_adapter.h"
#include "gateway/metrics.h"
#include "gateway/migration_adapter.h"
#include "gateway/peer_network.h"
#include "gateway/process_clock.h"
#include "gateway/program_adapter.h"
#include "gateway/reply_box.h"
#include "gateway/scheduler_adapter.h"
#include "kv/client.h"
#include "membership_wire/codec.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "policy/scheduler.h"
#include "policy_wire/codec.h"
#include "program/program_system.h"
#include "program_wire/codec.h"

namespace daisywind::gateway {
namespace {

namespace asio = boost::asio;

constexpr duration kSchedulerTick = 5ms;
constexpr duration kSlowTick = 50ms;
constexpr duration kServiceBound = 2s;
constexpr duration kDrainCheck = 20ms;
// Interval at which an engine is asked for whom it holds memory.
constexpr duration kSessionInterval = 10s;
// Longest time for which a fresh VM waits for its endpoints' first reports.
constexpr duration kEndpointWait = 5s;
// The balancer reads /readyz before it stops sending calls here.
constexpr duration kUnreadyLead = 300ms;

auto Addresses(const string_list& texts) -> std::vector<net::socket_address> {
  auto list = std::vector<net::socket_address>{};
  for (const auto& text : texts) {
    list.push_back(
        net::ParseSocketAddress(text).value_or(net::socket_address{}));
  }
  return list;
}

auto CallerLimits(const settings& values) -> net::http_limits {
  auto limits = net::http_limits{};
  limits.max_connections =
      static_cast<std::size_t>(values.Get(kMaxConnections));
  limits.max_body_bytes = static_cast<std::size_t>(values.Get(kMaxBodyBytes));
  limits.read_timeout = std::chrono::milliseconds(values.Get(kReadTimeoutMs));
  return limits;
}

auto SchedulerOptions(const settings& values) -> policy::scheduler_options {
  auto options = policy::scheduler_options{};
  options.region = region_id(values.Get(kRegion));
  options.failure_domain = failure_domain_id(values.Get(kFailureDomain));
  options.hang_bound =
      std::chrono::milliseconds(values.Get(kTokenIdleTimeoutMs));
  return options;
}

auto KeyValueOptions() -> kv::client_options {
  auto options = kv::client_options{};
  options.call_timeout = kServiceBound;
  return options;
}

auto AttemptBounds(const settings& values) -> attempt_bounds {
  return {std::chrono::milliseconds(values.Get(kCallTimeoutMs)),
          std::chrono::milliseconds(values.Get(kTokenIdleTimeoutMs))};
}

}  // namespace

struct node::parts {
  parts(asio::io_context& io, const settings& given);

  auto Start() -> bool;
  auto Stop(std::function<void()> on_stopped) -> void;
  auto Halt() -> void;

  auto OnEnvelope(const wire::envelope& message) -> bool;
  auto OnQuarantine(const std::string& payload) -> bool;
  auto ShareQuarantine() -> void;
  auto OnMembers(const membership::member_list& members) -> void;
  auto OnPeerLost(const vm_id& vm) -> void;
  auto OnInstall(const configuration::install_version& version) -> void;
  auto OnRouting(const migration::routing_state& state) -> void;
  auto OnLeaving(const endpoint_id& endpoint) -> void;
  auto UpdateEndpoints() -> void;
  auto UpdateGauges() -> void;
  auto IsReady() const -> bool;
  auto HasSeenEndpoints() const -> bool;

  auto CallerHooks() -> caller_api_hooks;
  auto AdminHooks() -> admin_api_hooks;
  auto ProgramParts() -> program_parts;
  auto MembershipHandlers() -> membership_handlers;

  auto RunSchedulerTicks() -> asio::awaitable<void>;
  auto RunSlowTicks() -> asio::awaitable<void>;
  auto RunVmListReads() -> asio::awaitable<void>;
  auto RunSessionReads() -> asio::awaitable<void>;
  auto IsReaderOf(const endpoint_id& endpoint) const -> bool;
  auto Drain(std::function<void()> on_stopped) -> asio::awaitable<void>;
  auto IsDrained() const -> bool;

  asio::io_context& context;
  settings values;
  vm_ref self;
  std::uint64_t seed = SystemSeed();
  metrics series;
  net::http_client client;
  kv::client service;
  endpoint_directory endpoints;
  tenant_keys keys;
  reply_table replies;
  admin_answers answers;
  peer_network peers;
  policy::scheduler scheduler;
  scheduler_adapter calls;
  attempt_runner runner;
  program::program_system programs;
  program_adapter program_side;
  configuration_adapter configuration_side;
  membership_adapter membership_side;
  lease_keeper lease;
  migration_adapter migration_side;
  endpoint_poller poller;
  caller_api callers;
  admin_api admin;
  net::http_server caller_server;
  net::http_server admin_server;
  routing_table routing;
  std::map<vm_id, vm_ref> live;
  std::optional<instant> first_install;
  bool is_stopping = false;
  bool is_stopped = false;
};

node::parts::parts(asio::io_context& io, const settings& given)
    : context(io),
      values(given),
      self{vm_id(given.Get(kVm)), UnixUs()},
      client(io),
      service(io,
              Addresses(given.GetList(kKeyValueAddresses)),
              KeyValueOptions()),
      replies(io),
      answers(io),
      peers(
          io,
          self,
          [this](const wire::envelope& message) { return OnEnvelope(message); },
          [this](const vm_id& vm) { OnPeerLost(vm); }),
      scheduler(SchedulerOptions(given), seed),
      calls(scheduler,
            [this](program::event event) {
              program_side.Submit(std::move(event));
            }),
      runner(io, client),
      programs(program::program_options{}, self, seed + 1),
      program_side(ProgramParts(), AttemptBounds(given)),
      configuration_side(io,
                         service,
                         peers,
                         answers,
                         seed + 2,
                         [this](const configuration::install_version& version) {
                           OnInstall(version);
                         }),
      membership_side(io, service, peers, seed + 3, MembershipHandlers()),
      lease(service, self),
      migration_side(
          io,
          client,
          lease,
          [this](const migration::routing_state& state) { OnRouting(state); }),
      poller(io,
             client,
             endpoints,
             scheduler,
             calls,
             std::chrono::milliseconds(given.Get(kLoadPollMs))),
      callers(CallerHooks(), replies, keys, series),
      admin(io, AdminHooks(), answers),
      caller_server(io,
                    CallerLimits(given),
                    [this](net::http_exchange& exchange) {
                      return callers.Handle(exchange);
                    }),
      admin_server(io,
                   net::http_limits{},
                   [this](net::http_exchange& exchange) {
                     return admin.Handle(exchange);
                   }) {}

auto node::parts::CallerHooks() -> caller_api_hooks {
  auto hooks = caller_api_hooks{};
  hooks.submit = [this](program::event event) {
    program_side.Submit(std::move(event));
  };
  hooks.document = [this] { return configuration_side.system().Document(); };
  hooks.is_ready = [this] { return IsReady(); };
  return hooks;
}

auto node::parts::AdminHooks() -> admin_api_hooks {
  return {self.vm.value,
          values.Get(kOperatorKeyDigest),
          configuration_side.system(),
          programs,
          [this](const configuration::event& event) {
            configuration_side.Submit(event);
          },
          [this] { return migration_side.Progress(); },
          [this] { return scheduler.Summary(); },
          [this] { return membership_side.Members(); },
          [this] {
            UpdateGauges();
            return series.Render();
          },
          [this] { return IsReady(); },
          [this] { Stop([] {}); }};
}

auto node::parts::ProgramParts() -> program_parts {
  return {context,
          programs,
          calls,
          runner,
          client,
          peers,
          replies,
          endpoints,
          series,
          [this](const endpoint_id& endpoint) { OnLeaving(endpoint); },
          [this](const endpoint_id& endpoint) { poller.Expedite(endpoint); }};
}

auto node::parts::MembershipHandlers() -> membership_handlers {
  return {
      [this](const membership::member_list& members) { OnMembers(members); },
      [this](const vm_ref& dead) {
        program_side.Submit(program::peer_lost{dead});
      },
      [this] { Stop([] {}); }};
}

auto node::parts::Start() -> bool {
  const auto peer_address = net::ParseSocketAddress(values.Get(kPeerAddress));
  const auto caller_address =
      net::ParseSocketAddress(values.Get(kCallerAddress));
  const auto admin_address = net::ParseSocketAddress(values.Get(kAdminAddress));
  if (!peers.Listen(peer_address.value_or(net::socket_address{})) ||
      caller_server.Listen(caller_address.value_or(net::socket_address{})) ==
          0 ||
      admin_server.Listen(admin_address.value_or(net::socket_address{})) == 0) {
    return false;
  }
  auto me = membership::member{};
  me.ref = self;
  me.address = peers.own_address();
  me.failure_domain = failure_domain_id(values.Get(kFailureDomain));
  me.region = region_id(values.Get(kRegion));
  configuration_side.Submit(
      configuration::started{{self, me.failure_domain}, UnixMs()});
  membership_side.Submit(membership::started{me, values.GetList(kPeerSeeds)});
  OnMembers({me});
  asio::co_spawn(context, RunSchedulerTicks(), asio::detached);
  asio::co_spawn(context, RunSlowTicks(), asio::detached);
  asio::co_spawn(context, RunSessionReads(), asio::detached);
  if (!values.Get(kVmListAddress).empty()) {
    asio::co_spawn(context, RunVmListReads(), asio::detached);
  }
  return true;
}

auto node::parts::OnEnvelope(const wire::envelope& message) -> bool {
  switch (message.kind) {
    case wire::protocol::kHello:
      return true;
    case wire::protocol::kProgram:
      if (auto body = program::DecodeMessage(message.payload)) {
        program_side.Submit(
            program::peer_message{message.from, std::move(*body)});
        return true;
      }
      return false;
    case wire::protocol::kConfiguration:
      if (auto body = configuration::DecodeMessage(message.payload)) {
        configuration_side.Submit(
            configuration::peer_message{message.from, std::move(*body)});
        return true;
      }
      return false;
    case wire::protocol::kMembership:
      if (auto body = membership::DecodeMessage(message.payload)) {
        membership_side.Submit(membership::peer_message{std::move(*body)});
        return true;
      }
      return false;
    case wire::protocol::kPolicy:
      return OnQuarantine(message.payload);
  }
  return false;
}

auto node::parts::OnQuarantine(const std::string& payload) -> bool {
  auto body = policy::DecodeMessage(payload);
  if (!body) {
    return false;
  }
  for (auto& crash : body->crashes) {
    crash.window -= WallClockOffset();
  }
  scheduler.OnQuarantineMessage(*body, Now());
  return true;
}

auto node::parts::ShareQuarantine() -> void {
  auto message = scheduler.TakeQuarantineMessage();
  if (message.crashes.empty() && message.cleared.empty()) {
    return;
  }
  for (auto& crash : message.crashes) {
    crash.window += WallClockOffset();
  }
  const auto payload = policy::EncodeMessage(message);
  for (const auto& [vm, ref] : live) {
    if (vm != self.vm) {
      peers.Send(ref, wire::protocol::kPolicy, payload);
    }
  }
}

auto node::parts::OnMembers(const membership::member_list& members) -> void {
  live.clear();
  auto configured = configuration::members_changed{};
  auto moved = migration::members{self.vm, {}};
  for (const auto& member : members) {
    live[member.ref.vm] = member.ref;
    configured.members.push_back({member.ref, member.failure_domain});
    moved.live.push_back(member.ref.vm);
  }
  scheduler.SetGateways(static_cast<std::uint32_t>(members.size()));
  program_side.Submit(program::members_changed{ToProgramMembers(members)});
  configuration_side.Submit(configured);
  migration_side.Submit(moved);
}

auto node::parts::OnPeerLost(const vm_id& vm) -> void {
  const auto found = live.find(vm);
  if (found != live.end() && vm != self.vm) {
    program_side.Submit(program::peer_lost{found->second});
  }
}

auto node::parts::OnInstall(const configuration::install_version& version)
    -> void {
  Log(log_events::kVersionInstalled,
      {{"version", static_cast<std::int64_t>(version.number)},
       {"spread_ms", version.spread_ms}});
  auto digests = std::map<tenant_id, std::string>{};
  for (const auto& [id, tenant] : version.content->tenants) {
    digests[id] = tenant.key_digest;
  }
  keys.Set(std::move(digests));
  endpoints.Update(*version.content);
  scheduler.SetTenants(ToPolicyTenants(*version.content),
                       ToPolicyNeeds(*version.content));
  const auto age =
      std::chrono::milliseconds(std::max<std::int64_t>(0, version.spread_ms));
  migration_side.Submit(migration::wanted_changed{
      ToWantedState(version.number, *version.content), Now() - age});
  if (!first_install) {
    first_install = Now();
  }
  UpdateEndpoints();
}

auto node::parts::OnRouting(const migration::routing_state& state) -> void {
  routing[state.endpoint] = state;
  const auto reason = migration::ToString(state.reason);
  Log(log_events::kRoutingChanged,
      {{"endpoint", std::string_view(state.endpoint.value)},
       {"accepts", state.accepts_new_work},
       {"reason", reason}});
  UpdateEndpoints();
}

auto node::parts::OnLeaving(const endpoint_id& endpoint) -> void {
  scheduler.OnLeaving(endpoint);
  migration_side.Submit(migration::endpoint_refused{endpoint});
}

auto node::parts::UpdateEndpoints() -> void {
  const auto document = configuration_side.system().Document();
  if (document != nullptr) {
    scheduler.SetEndpoints(ToPolicyEndpoints(*document, routing), Now());
  }
}

auto node::parts::UpdateGauges() -> void {
  const auto stats = programs.Stats();
  const auto& system = configuration_side.system();
  series.SetGauge("daisywind_programs_owned", {},
                  static_cast<double>(stats.owned));
  series.SetGauge("daisywind_programs_witnessed", {},
                  static_cast<double>(stats.witnessed));
  series.SetGauge("daisywind_takeovers", {},
                  static_cast<double>(stats.takeovers));
  series.SetGauge("daisywind_program_bytes", {},
                  static_cast<double>(programs.MemoryEstimate()));
  series.SetGauge("daisywind_version", {},
                  static_cast<double>(system.Number()));
  series.SetGauge("daisywind_members", {}, static_cast<double>(live.size()));
  const auto& counts = service.counts();
  const auto kv_calls = counts.ranges + counts.puts + counts.txns +
                        counts.grants + counts.keep_alives + counts.revokes +
                        counts.watches;
  series.SetGauge("daisywind_key_value_calls", {},
                  static_cast<double>(kv_calls));
  for (const auto& [kind, count] : peers.Traffic()) {
    const auto labels =
        metric_labels{{"protocol", std::to_string(static_cast<int>(kind))}};
    series.SetGauge("daisywind_peer_sent_bytes", labels,
                    static_cast<double>(count.sent_bytes));
    series.SetGauge("daisywind_peer_sent_messages", labels,
                    static_cast<double>(count.sent_messages));
  }
}

auto node::parts::IsReady() const -> bool {
  return !is_stopping && configuration_side.system().IsReady() &&
         HasSeenEndpoints();
}

// Right after the start no endpoint has been seen yet, and every call would be
// refused. What can't be seen within a bound does not keep the VM from getting
// ready, so that it serves the rest.
auto node::parts::HasSeenEndpoints() const -> bool {
  const auto document = configuration_side.system().Document();
  if (document == nullptr || !first_install) {
    return false;
  }
  return Now() - *first_install > kEndpointWait ||
         HasOpenEndpoints(*document, routing);
}

auto node::parts::RunSchedulerTicks() -> asio::awaitable<void> {
  auto timer = asio::steady_timer(context);
  while (!is_stopped) {
    for (const auto& call : calls.Tick(Now())) {
      program_side.EndHung(call);
    }
    timer.expires_after(kSchedulerTick);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

auto node::parts::RunSlowTicks() -> asio::awaitable<void> {
  auto timer = asio::steady_timer(context);
  while (!is_stopped) {
    program_side.Tick();
    configuration_side.Tick();
    membership_side.Tick();
    migration_side.Tick();
    poller.Tick(Now());
    ShareQuarantine();
    timer.expires_after(kSlowTick);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

auto node::parts::RunVmListReads() -> asio::awaitable<void> {
  const auto address = net::ParseSocketAddress(values.Get(kVmListAddress))
                           .value_or(net::socket_address{});
  const auto interval = std::chrono::milliseconds(values.Get(kVmListPollMs));
  auto timer = asio::steady_timer(context);
  while (!is_stopped) {
    auto leaving = co_await ReadLeavingVms(client, address);
    if (leaving) {
      migration_side.Submit(migration::vm_list{std::move(*leaving)});
    }
    timer.expires_after(interval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

// One VM reads each endpoint's sessions: the first in the endpoint's rendezvous
// order.
auto node::parts::IsReaderOf(const endpoint_id& endpoint) const -> bool {
  const auto order = PlacementHash(endpoint.value);
  const auto own = PlacementHash(self.vm.value, order);
  return std::none_of(live.begin(), live.end(), [&](const auto& item) {
    return PlacementHash(item.first.value, order) > own;
  });
}

auto node::parts::RunSessionReads() -> asio::awaitable<void> {
  auto timer = asio::steady_timer(context);
  while (!is_stopped) {
    timer.expires_after(kSessionInterval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    const auto document = configuration_side.system().Document();
    if (document == nullptr) {
      continue;
    }
    for (const auto& [id, endpoint] : document->endpoints) {
      const auto entry = endpoints.Find(id);
      if (!entry || entry->kind == configuration::endpoint_kind::kService ||
          !IsReaderOf(id)) {
        continue;
      }
      auto held = co_await ReadSessions(client, entry->address);
      if (held) {
        program_side.Submit(program::sessions_listed{id, std::move(*held)});
      }
    }
  }
}

auto node::parts::Stop(std::function<void()> on_stopped) -> void {
  if (is_stopping) {
    on_stopped();
    return;
  }
  is_stopping = true;
  asio::co_spawn(context, Drain(std::move(on_stopped)), asio::detached);
}

auto node::parts::Halt() -> void {
  is_stopping = true;
  is_stopped = true;
  caller_server.StopAccepting();
  admin_server.StopAccepting();
  caller_server.CloseAll();
  admin_server.CloseAll();
  peers.Close();
}

auto node::parts::Drain(std::function<void()> on_stopped)
    -> asio::awaitable<void> {
  const auto end = Now() + std::chrono::milliseconds(values.Get(kDrainBoundMs));
  auto timer = asio::steady_timer(context);
  timer.expires_after(kUnreadyLead);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  migration_side.Submit(migration::stopping{});
  program_side.Submit(program::shutdown_requested{});
  while (!IsDrained() && Now() < end) {
    timer.expires_after(kDrainCheck);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  caller_server.StopAccepting();
  caller_server.CloseIdle();
  membership_side.Submit(membership::leaving{});
  timer.expires_after(kUnreadyLead);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  on_stopped();
}

auto node::parts::IsDrained() const -> bool {
  return programs.IsDrained() && caller_server.ActiveRequestCount() == 0;
}

node::node(asio::io_context& context, const settings& values)
    : parts_(std::make_unique<parts>(context, values)) {}

node::~node() = default;

auto node::Start() -> bool {
  return parts_->Start();
}

auto node::Halt() -> void {
  parts_->Halt();
}

auto node::Stop(std::function<void()> on_stopped) -> void {
  parts_->Stop(std::move(on_stopped));
}

}  // namespace daisywind::gateway
