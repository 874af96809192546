// Carries out the commands of the migration system: the reconciler's lease,
// orders to engines, and reads of their state.
#ifndef DAISYWIND_GATEWAY_MIGRATION_ADAPTER_H_
#define DAISYWIND_GATEWAY_MIGRATION_ADAPTER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

#include "gateway/lease_keeper.h"
#include "migration/migration_system.h"
#include "net/http_client.h"

namespace daisywind::gateway {

// Feeds the migration system and carries out what it says.
class migration_adapter {
 public:
  using routing_handler = std::function<void(const migration::routing_state&)>;

  migration_adapter(boost::asio::io_context& context,
                    net::http_client& client,
                    lease_keeper& lease,
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
  auto SubmitLater(boost::asio::awaitable<migration::event> work) -> void;

  boost::asio::io_context& context_;
  net::http_client& client_;
  lease_keeper& lease_;
  routing_handler on_routing_;
  migration::migration_system system_;
  std::map<endpoint_id, std::string> addresses_;
};

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_MIGRATION_ADAPTER_H_
