// Accepts attempts that other fronts make through this VM.
#ifndef DAISYWIND_RELAY_RELAY_SERVER_H_
#define DAISYWIND_RELAY_RELAY_SERVER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "common/byte_budget.h"
#include "net/frame_channel.h"
#include "net/http_client.h"
#include "relay/messages.h"

namespace daisywind::relay {

// One attempt and the means to respond to it.
class relay_exchange {
 public:
  relay_exchange() = default;
  relay_exchange(const relay_exchange&) = delete;
  auto operator=(const relay_exchange&) -> relay_exchange& = delete;
  virtual ~relay_exchange() = default;

  [[nodiscard]] virtual auto request() -> attempt_request& = 0;

  // Cancelled when the sender no longer waits or its connection has failed.
  [[nodiscard]] virtual auto cancellation()
      -> const std::shared_ptr<net::http_cancellation>& = 0;

  // Each returns false when the sender can't be reached.
  virtual auto SendHead(response_head head) -> bool = 0;
  virtual auto SendPart(std::string bytes) -> bool = 0;
  virtual auto SendEnd(response_end end) -> bool = 0;
};

using relay_handler = std::function<boost::asio::awaitable<void>(
    std::shared_ptr<relay_exchange> exchange)>;

class relay_server {
 public:
  struct state;

  // Connections beyond `max_connections` are closed at once. `memory` is for
  // the frames under way on all connections; unlimited if null.
  relay_server(boost::asio::io_context& context,
               std::size_t max_connections,
               std::shared_ptr<byte_budget> memory,
               relay_handler handler);
  relay_server(const relay_server&) = delete;
  auto operator=(const relay_server&) -> relay_server& = delete;
  ~relay_server();

  // Binds and starts accepting; port 0 selects a free port. Returns the bound
  // port, or 0 when it could not listen on the address.
  auto Listen(const net::socket_address& address) -> std::uint16_t;

  // Stops accepting and closes every connection, which cancels its attempts.
  auto Close() -> void;

  // Accepts no further attempts. Those that run go on.
  auto Drain() -> void;

  [[nodiscard]] auto ActiveCount() const -> std::size_t;

 private:
  std::shared_ptr<state> state_;
};

}  // namespace daisywind::relay

#endif  // DAISYWIND_RELAY_RELAY_SERVER_H_
