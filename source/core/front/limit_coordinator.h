// Keeps the requests of all VMs together within the rate limits that endpoints
// name. Each VM tells the journals which limits its responses show and learns
// from them the limits and the VMs among which a limit is divided.
#ifndef DAISYWIND_FRONT_LIMIT_COORDINATOR_H_
#define DAISYWIND_FRONT_LIMIT_COORDINATOR_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/time.h"
#include "common/vm_location.h"
#include "dispatch/endpoint_table.h"
#include "dispatch/placement.h"
#include "history_client/limit_exchange.h"
#include "history_client/member_client.h"
#include "history_client/turn_client.h"

namespace daisywind::front {

// Timing of the requests to the journals.
struct limit_coordinator_options {
  // Time between requests while no endpoint names a limit, and while one does.
  duration idle_interval = 1s;
  duration busy_interval = 250ms;
  // Minimum time between requests that report news.
  duration min_interval = 50ms;
  duration request_timeout = 800ms;
  // Time between updates of all quotas without news, for VMs that have fallen
  // silent and endpoints that have restarted.
  duration apply_interval = 500ms;
};

// Called with the VMs that send requests to endpoints after each reply of a
// journal.
using senders_handler =
    std::function<void(std::vector<history::sender_state> senders)>;

// The endpoint table, the turn client and the location must outlive it.
class limit_coordinator {
 public:
  limit_coordinator(boost::asio::io_context& context,
                    vm_location self,
                    dispatch::endpoint_table& endpoints,
                    history::turn_client& turns,
                    const dispatch::location& here,
                    senders_handler on_senders,
                    limit_coordinator_options options);

  auto Start() -> void;
  auto Stop() -> void;

  // Tells the journals where this VM makes attempts for others, and whether it
  // reaches endpoints.
  auto SetSelf(std::string relay_address, bool reaches_endpoints) -> void;

  // A response of an endpoint to this VM names a limit, or none. `request` is
  // the id of its request.
  auto OnResponse(const endpoint_id& endpoint,
                  std::optional<double> per_second,
                  std::string_view request,
                  instant now) -> void;

  // Updates the quotas of all endpoints that name a limit, when that is due.
  auto Tick(instant now) -> void;

 private:
  auto Run() -> boost::asio::awaitable<void>;
  auto SendRequests(instant now) -> void;
  auto ApplyLimits(instant now) -> void;
  auto ApplyLimit(const dispatch::endpoint_state& state,
                  const std::vector<vm_location>& senders,
                  instant now) -> void;

  boost::asio::io_context& context_;
  vm_location self_;
  dispatch::endpoint_table& endpoints_;
  history::turn_client& turns_;
  const dispatch::location& here_;
  senders_handler on_senders_;
  limit_coordinator_options options_;
  history::limit_exchange exchange_;
  boost::asio::steady_timer timer_;
  instant sent_at_{};
  instant due_at_{};
  instant applied_at_{};
  bool is_stopped_ = false;
  // Ends first: its pending replies refer to this object.
  history::member_clients clients_;
};

}  // namespace daisywind::front

#endif  // DAISYWIND_FRONT_LIMIT_COORDINATOR_H_
