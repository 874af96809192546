#include "dispatch/path_monitor.h"

#include <algorithm>

namespace daisywind::dispatch {

auto PathStateName(path_state state) -> std::string_view {
  switch (state) {
    case path_state::kOpen:
      return "open";
    case path_state::kSilent:
      return "silent";
    case path_state::kNoNewConnections:
      return "no_new_connections";
    case path_state::kClosed:
      return "closed";
  }
  return "unknown";
}

auto path_monitor::OnRequestSent(const endpoint_id& endpoint, instant now)
    -> void {
  ++in_flight_[endpoint];
  waiting_since_ = waiting_since_.value_or(now);
}

auto path_monitor::OnRequestEnded(const endpoint_id& endpoint) -> void {
  const auto found = in_flight_.find(endpoint);
  if (found != in_flight_.end() && --found->second == 0) {
    in_flight_.erase(found);
  }
  if (in_flight_.empty()) {
    waiting_since_.reset();
  }
}

auto path_monitor::OnReceived(instant now) -> void {
  received_at_ = now;
  is_silent_ = false;
  if (waiting_since_) {
    waiting_since_ = now;
  }
}

auto path_monitor::OnConnected(instant now) -> void {
  can_connect_ = true;
  unreachable_.clear();
  OnReceived(now);
}

auto path_monitor::OnConnectFailed(const endpoint_id& endpoint,
                                   std::size_t endpoints) -> void {
  unreachable_.insert(endpoint);
  if (unreachable_.size() >= std::min(options_.failed_endpoints, endpoints)) {
    can_connect_ = false;
  }
}

auto path_monitor::State(instant now) -> path_state {
  if (waiting_since_ && now - *waiting_since_ > options_.max_silence &&
      in_flight_.size() >= options_.silent_endpoints) {
    is_silent_ = true;
  }
  if (can_connect_) {
    return is_silent_ ? path_state::kSilent : path_state::kOpen;
  }
  // While no new connection succeeds, only recent bytes show that the open ones
  // are alive.
  const auto is_alive = !is_silent_ && received_at_ &&
                        now - *received_at_ <= options_.max_silence;
  return is_alive ? path_state::kNoNewConnections : path_state::kClosed;
}

}  // namespace daisywind::dispatch
