#include "front/endpoint_paths.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <utility>

#include "common/log_values.h"
#include "common/logging.h"
#include "common/process_clock.h"

namespace daisywind::front {
namespace {

namespace asio = boost::asio;
using dispatch::path_state;

}  // namespace

endpoint_paths::endpoint_paths(asio::io_context& context,
                               vm_location self,
                               const dispatch::endpoint_table& endpoints,
                               net::http_client& client,
                               std::function<void()> on_change,
                               endpoint_paths_options options)
    : context_(context),
      self_(std::move(self)),
      endpoints_(endpoints),
      client_(client),
      on_change_(std::move(on_change)),
      options_(options),
      random_(SystemSeed()),
      timer_(context) {}

auto endpoint_paths::Start() -> void {
  asio::co_spawn(context_, Probe(), asio::detached);
}

auto endpoint_paths::Stop() -> void {
  is_stopped_ = true;
  timer_.cancel();
}

auto endpoint_paths::Observe(const endpoint_id& endpoint,
                             net::http_options& options) -> void {
  options.on_connected = [this, endpoint](bool is_connected) {
    if (is_connected) {
      monitor_.OnConnected(Now());
    } else {
      monitor_.OnConnectFailed(endpoint, endpoints_.size());
    }
  };
  options.on_received = [this] { monitor_.OnReceived(Now()); };
}

auto endpoint_paths::OnRequestSent(const endpoint_id& endpoint) -> void {
  monitor_.OnRequestSent(endpoint, Now());
}

auto endpoint_paths::OnRequestEnded(const endpoint_id& endpoint) -> void {
  monitor_.OnRequestEnded(endpoint);
}

auto endpoint_paths::SetFronts(std::vector<history::sender_state> fronts)
    -> void {
  fronts_ = std::move(fronts);
}

auto endpoint_paths::OnRelayFailed(const vm_id& relay) -> void {
  relay_pauses_.insert_or_assign(relay, Now() + options_.relay_pause);
}

auto endpoint_paths::IsOpen() -> bool {
  return Update() == path_state::kOpen;
}

auto endpoint_paths::CanConnect() -> bool {
  const auto state = Update();
  return state == path_state::kOpen || state == path_state::kSilent;
}

auto endpoint_paths::IsClosed() -> bool {
  return Update() == path_state::kClosed;
}

auto endpoint_paths::IsUsable() -> bool {
  return !IsClosed() || PickRelay({}).has_value();
}

auto endpoint_paths::PickRelay(const std::set<vm_id>& excluded)
    -> std::optional<history::sender_state> {
  const auto now = Now();
  const history::sender_state* best = nullptr;
  auto ties = std::uint64_t{0};
  for (const auto& front : fronts_) {
    const auto paused = relay_pauses_.find(front.location.vm);
    if (front.location.vm == self_.vm || front.relay_address.empty() ||
        !front.reaches_endpoints || excluded.contains(front.location.vm) ||
        (paused != relay_pauses_.end() && paused->second > now)) {
      continue;
    }
    const auto distance = Distance(front.location, self_);
    if (best == nullptr || distance < Distance(best->location, self_)) {
      best = &front;
      ties = 1;
    } else if (distance == Distance(best->location, self_) &&
               random_.UniformBelow(++ties) == 0) {
      best = &front;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(*best);
}

auto endpoint_paths::Choose(const net::socket_address& address,
                            const std::set<vm_id>& excluded)
    -> std::optional<attempt_path> {
  switch (Update()) {
    case path_state::kOpen:
      return attempt_path{};
    case path_state::kSilent:
      return attempt_path{std::nullopt, net::connection_use::kNew};
    case path_state::kNoNewConnections:
      if (client_.HasIdleConnection(address)) {
        return attempt_path{std::nullopt, net::connection_use::kIdle};
      }
      break;
    case path_state::kClosed:
      break;
  }
  auto relay = PickRelay(excluded);
  if (!relay) {
    return std::nullopt;
  }
  return attempt_path{std::move(relay), net::connection_use::kAny};
}

auto endpoint_paths::Tick(instant now) -> void {
  Update();
  std::erase_if(relay_pauses_,
                [&](const auto& item) { return item.second <= now; });
}

auto endpoint_paths::Update() -> path_state {
  const auto now = Now();
  const auto before = std::exchange(state_, monitor_.State(now));
  if (state_ == before) {
    return state_;
  }
  const auto received_at = monitor_.LastReceived();
  Log(log_events::kPathStateChanged,
      {{"state", dispatch::PathStateName(state_)},
       {"before", dispatch::PathStateName(before)},
       {"last_received_ms",
        received_at ? Milliseconds(now - *received_at) : kNoTime},
       {"fronts", static_cast<std::int64_t>(fronts_.size())}});
  if (state_ == path_state::kClosed) {
    // They may stay dead after the path is open again.
    client_.CloseIdleConnections();
  }
  on_change_();
  return state_;
}

auto endpoint_paths::Probe() -> asio::awaitable<void> {
  while (!is_stopped_) {
    if (Update() != path_state::kOpen) {
      const auto ids = endpoints_.Ids();
      const auto probes = std::min(options_.probed_endpoints, ids.size());
      for (auto i = std::size_t{0}; i < probes; ++i) {
        const auto& id = ids[random_.UniformBelow(ids.size())];
        if (const auto address =
                net::ParseSocketAddress(endpoints_.Find(id)->entry.address)) {
          asio::co_spawn(context_, ProbeOne(id, *address), asio::detached);
        }
      }
    }
    timer_.expires_after(options_.probe_interval);
    co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

auto endpoint_paths::ProbeOne(endpoint_id endpoint, net::socket_address address)
    -> asio::awaitable<void> {
  if (co_await client_.Connect(std::move(address), options_.probe_timeout)) {
    monitor_.OnConnected(Now());
  } else {
    monitor_.OnConnectFailed(endpoint, endpoints_.size());
  }
}

}  // namespace daisywind::front
