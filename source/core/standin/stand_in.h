// A stand-in: an HTTP server that replaces an external system in tests and in
// load runs, and into which faults can be injected.
#ifndef DAISYWIND_STANDIN_STAND_IN_H_
#define DAISYWIND_STANDIN_STAND_IN_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "net/http_server.h"
#include "standin/fault_table.h"
#include "standin/role.h"

namespace daisywind::standin {

// Serves a role on one address. All handlers run on the given context. Requests
// below /standin/ control the stand-in and are exempt from faults.
class stand_in {
 public:
  stand_in(boost::asio::io_context& context,
           std::string role_name,
           std::unique_ptr<role> handler);

  // Binds the address and starts accepting connections; port 0 selects a free
  // port. Returns the bound port, or 0 when binding fails.
  auto Listen(const net::socket_address& address) -> std::uint16_t;

 private:
  auto Handle(net::http_exchange& exchange) -> boost::asio::awaitable<void>;
  auto HandleWithFaults(net::http_exchange& exchange)
      -> boost::asio::awaitable<void>;
  auto ChangeFaults(const net::http_request& request) -> net::http_response;

  std::string role_name_;
  std::unique_ptr<role> role_;
  fault_table faults_;
  net::http_server server_;
};

}  // namespace daisywind::standin

#endif  // DAISYWIND_STANDIN_STAND_IN_H_
