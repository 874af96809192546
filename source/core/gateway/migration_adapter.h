// Executes the commands of the migration system: lease operations, orders to
// engines, and reads of their state.
#ifndef DAISYWIND_GATEWAY_MIGRATION_ADAPTER_H_
#define DAISYWIND_GATEWAY_MIGRATION_ADAPTER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

#include "gateway/reconciler_lease.h"
#include "migration/migration_system.h"
#include "net/http_client.h"

namespace daisywind::gateway {

// Submits events to the migration system and executes the commands that it
// returns.
class migration_adapter {
 public:
  using routing_handler = std::function<void(const migration::routing_state&)>;

  migration_adapter(boost::asio::io_context& context,
                    net::http_client& client,
                    reconciler_lease& lease,
                    routing_handler on_routing);
  migration_adapter(const migration_adapter&) = delete;
  auto operator=(const migration_adapter&) -> migration_adapter& = delete;

  auto Submit(const migration::event& event) -> void;
  auto Tick() -> void;

  [[nodiscard]] auto Progress() const -> migration::migration_progress;

 private:
  auto Execute(const std::vector<migration::command>& commands) -> void;
  auto Execute(const migration::acquire_lease& command) -> void;
  auto Execute(const migration::renew_lease& command) -> void;
  auto Execute(const migration::release_lease& command) -> void;
  auto Execute(const migration::send_order& command) -> void;
  auto Execute(const migration::read_state& command) -> void;
  auto Execute(const migration::routing_state& command) -> void;
  auto Execute(const migration::release_sessions& command) -> void;

  auto SendOrder(migration::send_order command)
      -> boost::asio::awaitable<migration::order_result>;
  auto ReadEngine(migration::read_state command)
      -> boost::asio::awaitable<migration::event>;
  auto ReadService(migration::read_state command)
      -> boost::asio::awaitable<migration::event>;
  auto ReleaseSessions(std::string address) -> boost::asio::awaitable<void>;
  auto SubmitWhenDone(boost::asio::awaitable<migration::event> work) -> void;

  boost::asio::io_context& context_;
  net::http_client& client_;
  reconciler_lease& lease_;
  routing_handler on_routing_;
  migration::migration_system system_;
  std::map<endpoint_id, std::string> addresses_;
};

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_MIGRATION_ADAPTER_H_
