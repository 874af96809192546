#include "gateway/node.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "common/process_clock.h"
#include "gateway/gateway_settings.h"
#include "gateway/node_components.h"

namespace daisywind::gateway {
namespace {

namespace asio = boost::asio;

constexpr duration kKeyValueCallTimeout = 2s;

// The settings have been checked: each text is a valid address.
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
  // The same time ends an attempt, in AttemptTimeouts.
  options.hang_timeout =
      std::chrono::milliseconds(values.Get(kTokenIdleTimeoutMs));
  return options;
}

auto KeyValueOptions() -> kv::client_options {
  auto options = kv::client_options{};
  options.call_timeout = kKeyValueCallTimeout;
  return options;
}

auto AttemptTimeouts(const settings& values) -> attempt_timeouts {
  return {std::chrono::milliseconds(values.Get(kCallTimeoutMs)),
          std::chrono::milliseconds(values.Get(kTokenIdleTimeoutMs))};
}

}  // namespace

node::components::components(asio::io_context& io,
                             const settings& initial_values)
    : context(io),
      values(initial_values),
      self{vm_id(initial_values.Get(kVm)), UnixUs()},
      client(io),
      kv_client(io,
                Addresses(initial_values.GetList(kKeyValueAddresses)),
                KeyValueOptions()),
      caller_replies(io),
      pending_admin_replies(io),
      peers(
          io,
          self,
          [this](const wire::envelope& received) {
            return OnEnvelope(received);
          },
          [this](const vm_id& vm) { OnPeerLost(vm); }),
      scheduler(SchedulerOptions(initial_values), seed),
      scheduler_io(scheduler,
                   [this](program::event event) {
                     program_io.Submit(std::move(event));
                   }),
      runner(io, client),
      programs(program::program_options{}, self, seed + 1),
      program_io(ProgramDependencies(), AttemptTimeouts(initial_values)),
      configuration_io(io,
                       kv_client,
                       peers,
                       pending_admin_replies,
                       seed + 2,
                       [this](const configuration::install_version& version) {
                         OnInstall(version);
                       }),
      membership_io(io, kv_client, peers, seed + 3, MembershipHandlers()),
      lease(kv_client, self),
      migration_io(
          io,
          client,
          lease,
          [this](const migration::routing_state& state) { OnRouting(state); }),
      poller(io,
             client,
             endpoints,
             scheduler,
             scheduler_io,
             std::chrono::milliseconds(initial_values.Get(kLoadPollMs))),
      callers(CallerHooks(), caller_replies, keys, metrics_registry),
      admin(io, AdminHooks(), pending_admin_replies),
      caller_server(io,
                    CallerLimits(initial_values),
                    [this](net::http_exchange& exchange) {
                      return callers.Handle(exchange);
                    }),
      admin_server(io,
                   net::http_limits{},
                   [this](net::http_exchange& exchange) {
                     return admin.Handle(exchange);
                   }) {}

auto node::components::CallerHooks() -> caller_api_hooks {
  auto hooks = caller_api_hooks{};
  hooks.submit = [this](program::event event) {
    program_io.Submit(std::move(event));
  };
  hooks.document = [this] { return configuration_io.system().Document(); };
  hooks.is_ready = [this] { return IsReady(); };
  return hooks;
}

auto node::components::AdminHooks() -> admin_api_hooks {
  return {self.vm.value, values.Get(kOperatorKeyDigest),
          configuration_io.system(), programs,
          /*submit=*/
          [this](const configuration::event& event) {
            configuration_io.Submit(event);
          },
          /*progress=*/[this] { return migration_io.Progress(); },
          /*scheduler=*/[this] { return scheduler.Summary(); },
          /*members=*/[this] { return membership_io.Members(); },
          /*metrics_text=*/
          [this] {
            UpdateGauges();
            return metrics_registry.Render();
          },
          /*is_ready=*/[this] { return IsReady(); },
          /*drain=*/[this] { Stop([] {}); }};
}

auto node::components::ProgramDependencies() -> program_dependencies {
  return {context,
          programs,
          scheduler_io,
          runner,
          client,
          peers,
          caller_replies,
          endpoints,
          metrics_registry,
          [this](const endpoint_id& endpoint) { OnLeaving(endpoint); },
          [this](const endpoint_id& endpoint) { poller.Expedite(endpoint); }};
}

auto node::components::MembershipHandlers() -> membership_handlers {
  return {
      [this](const membership::member_list& members) { OnMembers(members); },
      [this](const vm_ref& dead) {
        program_io.Submit(program::peer_lost{dead});
      },
      [this] { Stop([] {}); }};
}

auto node::components::Start() -> bool {
  // The check of the settings has ensured that these addresses are valid.
  const auto peer_address = net::ParseSocketAddress(values.Get(kPeerAddress));
  const auto caller_address =
      net::ParseSocketAddress(values.Get(kCallerAddress));
  const auto admin_address = net::ParseSocketAddress(values.Get(kAdminAddress));
  const auto memory =
      std::make_shared<byte_budget>(vm_settings::MessageMemory(values));
  const auto unsent_memory =
      std::make_shared<byte_budget>(vm_settings::MessageMemory(values));
  for (auto* server : {&caller_server, &admin_server}) {
    server->SetMemory(memory);
    server->SetUnsentMemory(unsent_memory);
  }
  if (!peers.Listen(peer_address.value_or(net::socket_address{})) ||
      caller_server.Listen(caller_address.value_or(net::socket_address{})) ==
          0 ||
      admin_server.Listen(admin_address.value_or(net::socket_address{})) == 0) {
    return false;
  }
  auto self_member = membership::member{};
  self_member.ref = self;
  self_member.address = peers.own_address();
  self_member.failure_domain = failure_domain_id(values.Get(kFailureDomain));
  self_member.region = region_id(values.Get(kRegion));
  configuration_io.Submit(
      configuration::started{{self, self_member.failure_domain}, UnixMs()});
  membership_io.Submit(
      membership::started{self_member, values.GetList(kPeerSeeds)});
  OnMembers({self_member});
  asio::co_spawn(context, RunSchedulerTicks(), asio::detached);
  asio::co_spawn(context, RunSlowTicks(), asio::detached);
  asio::co_spawn(context, RunSessionReads(), asio::detached);
  if (!values.Get(kVmListAddress).empty()) {
    asio::co_spawn(context, RunVmListReads(), asio::detached);
  }
  return true;
}

node::node(asio::io_context& context, const settings& values)
    : components_(std::make_unique<components>(context, values)) {}

node::~node() = default;

auto node::Start() -> bool {
  return components_->Start();
}

auto node::Halt() -> void {
  components_->Halt();
}

auto node::Stop(std::function<void()> on_stopped) -> void {
  components_->Stop(std::move(on_stopped));
}

}  // namespace daisywind::gateway
