// The interface of the roles: engine, service, or component of the platform.
#ifndef DAISYWIND_STANDIN_ROLE_H_
#define DAISYWIND_STANDIN_ROLE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string_view>

#include "net/http_server.h"
#include "standin/options.h"

namespace daisywind::standin {

// Handles the requests of one stand-in.
class role {
 public:
  role() = default;
  role(const role&) = delete;
  auto operator=(const role&) -> role& = delete;
  virtual ~role() = default;

  virtual auto Handle(net::http_exchange& exchange)
      -> boost::asio::awaitable<void> = 0;
};

// Creates the role with the given name ("kv", "engine", "service", "weights" or
// "vms"). Returns null for any other name.
auto MakeRole(std::string_view name,
              boost::asio::io_context& context,
              const stand_in_options& options) -> std::unique_ptr<role>;

}  // namespace daisywind::standin

#endif  // DAISYWIND_STANDIN_ROLE_H_
