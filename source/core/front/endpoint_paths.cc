#include "front/endpoint_paths.h"

#include "common/logging.h"
#include "common/process_clock.h"
#include "front/log_values.h"

namespace daisywind::front {

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

auto endpoint_paths::Tick(instant now) -> void {
  const auto state = monitor_.State(now);
  if (state == logged_state_) {
    return;
  }
  const auto received_at = monitor_.LastReceived();
  Log(log_events::kPathStateChanged,
      {{"state", dispatch::PathStateName(state)},
       {"before", dispatch::PathStateName(logged_state_)},
       {"last_received_ms",
        received_at ? Milliseconds(now - *received_at) : kNoTime}});
  logged_state_ = state;
}

}  // namespace daisywind::front
