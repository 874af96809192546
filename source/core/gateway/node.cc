#include "gateway/node.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "common/process_clock.h"
#include "gateway/gateway_settings.h"
#include "gateway/node_parts.h"

namespace daisywind::gateway {
namespace {

namespace asio = boost::asio;

constexpr duration kServiceBound = 2s;

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
  options.hang_timeout =
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
