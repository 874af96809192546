// Client of the admin API of any of our VMs.
#ifndef DAISYWIND_CONTROL_ADMIN_CLIENT_H_
#define DAISYWIND_CONTROL_ADMIN_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "common/ids.h"
#include "common/time.h"
#include "control/arguments.h"
#include "net/http_client.h"
#include "net/http_types.h"

namespace daisywind::control {

class admin_client {
 public:
  admin_client(boost::asio::io_context& context, const arguments& from);

  // Sends a request to the current VM. When it gives no answer the next call
  // goes to the next VM.
  auto Call(net::http_request request, duration timeout)
      -> boost::asio::awaitable<net::http_result>;

  // Reads a path. Every VM is tried once until one answers.
  auto Get(std::string target, duration timeout)
      -> boost::asio::awaitable<net::http_result>;

 private:
  net::http_client http_;
  std::vector<net::socket_address> addresses_;
  std::string key_;
  std::size_t current_ = 0;
};

// The version number of an answer's ETag.
auto NumberOf(const net::http_response& response)
    -> std::optional<version_number>;

}  // namespace daisywind::control

#endif  // DAISYWIND_CONTROL_ADMIN_CLIENT_H_
