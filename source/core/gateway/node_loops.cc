// Periodic work of a node, and its graceful stop.
#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <utility>

#include "common/digest.h"
#include "common/process_clock.h"
#include "gateway/endpoint_calls.h"
#include "gateway/gateway_settings.h"
#include "gateway/node_components.h"

namespace daisywind::gateway {
namespace {

namespace asio = boost::asio;

constexpr duration kSchedulerTick = 5ms;
constexpr duration kSlowTick = 100ms;
constexpr duration kDrainCheck = 20ms;
// Interval between reads of the programs for which an engine holds memory.
constexpr duration kSessionInterval = 10s;
// Time for the load balancer to read /readyz and stop sending calls to this VM.
constexpr duration kReadinessPropagationDelay = 300ms;

}  // namespace

auto node::components::RunSchedulerTicks() -> asio::awaitable<void> {
  auto timer = asio::steady_timer(context);
  while (!is_stopped) {
    for (const auto& call : scheduler_io.Tick(Now())) {
      program_io.AbortHungCall(call);
    }
    timer.expires_after(kSchedulerTick);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

auto node::components::RunSlowTicks() -> asio::awaitable<void> {
  auto timer = asio::steady_timer(context);
  while (!is_stopped) {
    program_io.Tick();
    configuration_io.Tick();
    membership_io.Tick();
    migration_io.Tick();
    if (has_routing_changed) {
      UpdateEndpoints();
    }
    poller.Tick(Now());
    ShareQuarantine();
    timer.expires_after(kSlowTick);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

auto node::components::RunVmListReads() -> asio::awaitable<void> {
  const auto address = net::ParseSocketAddress(values.Get(kVmListAddress))
                           .value_or(net::socket_address{});
  const auto interval = std::chrono::milliseconds(values.Get(kVmListPollMs));
  auto timer = asio::steady_timer(context);
  while (!is_stopped) {
    auto leaving = co_await ReadLeavingVms(client, address);
    if (leaving) {
      migration_io.Submit(migration::vm_list{std::move(*leaving)});
    }
    timer.expires_after(interval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

// The sessions of an endpoint are read by a single VM, which is chosen by
// rendezvous hashing.
auto node::components::IsSessionReaderOf(const endpoint_id& endpoint) const
    -> bool {
  const auto order = PlacementHash(endpoint.value);
  const auto own = PlacementHash(self.vm.value, order);
  return std::none_of(live_members.begin(), live_members.end(),
                      [&](const auto& item) {
                        return PlacementHash(item.first.value, order) > own;
                      });
}

auto node::components::RunSessionReads() -> asio::awaitable<void> {
  auto timer = asio::steady_timer(context);
  while (!is_stopped) {
    timer.expires_after(kSessionInterval);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    const auto document = configuration_io.system().Document();
    if (document == nullptr) {
      continue;
    }
    for (const auto& [id, endpoint] : document->endpoints) {
      const auto entry = endpoints.Find(id);
      if (!entry || entry->kind == configuration::endpoint_kind::kService ||
          !IsSessionReaderOf(id)) {
        continue;
      }
      auto sessions = co_await ReadSessions(client, entry->address);
      if (sessions) {
        program_io.Submit(program::sessions_listed{id, std::move(*sessions)});
      }
    }
  }
}

auto node::components::Stop(std::function<void()> on_stopped) -> void {
  if (is_stopping) {
    on_stopped();
    return;
  }
  is_stopping = true;
  asio::co_spawn(context, Drain(std::move(on_stopped)), asio::detached);
}

auto node::components::Halt() -> void {
  is_stopping = true;
  is_stopped = true;
  caller_server.StopAccepting();
  admin_server.StopAccepting();
  caller_server.CloseAll();
  admin_server.CloseAll();
  peers.Close();
}

auto node::components::Drain(std::function<void()> on_stopped)
    -> asio::awaitable<void> {
  const auto end =
      Now() + std::chrono::milliseconds(values.Get(kDrainTimeoutMs));
  auto timer = asio::steady_timer(context);
  timer.expires_after(kReadinessPropagationDelay);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  migration_io.Submit(migration::stopping{});
  program_io.Submit(program::shutdown_requested{});
  while (!IsDrained() && Now() < end) {
    timer.expires_after(kDrainCheck);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  caller_server.StopAccepting();
  caller_server.CloseIdle();
  membership_io.Submit(membership::leaving{});
  timer.expires_after(kReadinessPropagationDelay);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  on_stopped();
}

auto node::components::IsDrained() const -> bool {
  return programs.IsDrained() && caller_server.ActiveRequestCount() == 0;
}

}  // namespace daisywind::gateway
