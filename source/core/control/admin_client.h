// Client of the admin API, with failover between VMs.
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

  // Sends a request to the current VM, without retries. When it does not
  // respond, the next call goes to the next VM.
  auto Call(net::http_request request, duration timeout)
      -> boost::asio::awaitable<net::http_result>;

  // Sends a GET request to each VM in turn, once each, until one responds. The
  // timeout applies to each attempt.
  auto Get(std::string target, duration timeout)
      -> boost::asio::awaitable<net::http_result>;

 private:
  net::http_client http_;
  std::vector<net::socket_address> addresses_;
  std::string key_;
  std::size_t current_ = 0;
};

// Parses the version number in the ETag header of a response. Returns nullopt
// when the header is missing or is not a quoted number.
auto VersionFromEtag(const net::http_response& response)
    -> std::optional<version_number>;

}  // namespace daisywind::control

#endif  // DAISYWIND_CONTROL_ADMIN_CLIENT_H_
