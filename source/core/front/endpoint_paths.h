// The ways from this VM to the endpoints.
#ifndef DAISYWIND_FRONT_ENDPOINT_PATHS_H_
#define DAISYWIND_FRONT_ENDPOINT_PATHS_H_

#include "common/ids.h"
#include "common/time.h"
#include "dispatch/endpoint_table.h"
#include "dispatch/path_monitor.h"
#include "net/http_client.h"

namespace daisywind::front {

// The endpoint table must outlive it.
class endpoint_paths {
 public:
  explicit endpoint_paths(const dispatch::endpoint_table& endpoints)
      : endpoints_(endpoints) {}

  // Lets a request to an endpoint report to the monitor. The options must not
  // outlive this object.
  auto Observe(const endpoint_id& endpoint, net::http_options& options) -> void;

  // A request was handed to the client, and its attempt has ended.
  auto OnRequestSent(const endpoint_id& endpoint) -> void;
  auto OnRequestEnded(const endpoint_id& endpoint) -> void;

  // Logs a change of the state.
  auto Tick(instant now) -> void;

 private:
  const dispatch::endpoint_table& endpoints_;
  dispatch::path_monitor monitor_;
  dispatch::path_state logged_state_ = dispatch::path_state::kOpen;
};

}  // namespace daisywind::front

#endif  // DAISYWIND_FRONT_ENDPOINT_PATHS_H_
