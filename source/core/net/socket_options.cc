#include "net/socket_options.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <chrono>

namespace daisywind::net {
namespace {

namespace asio = boost::asio;

using user_timeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
using keep_idle =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using keep_interval =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using keep_count =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;

// Unanswered probes, one a second, that end an idle connection.
constexpr auto kProbes = 2;

}  // namespace

auto DetectDeadPeer(asio::ip::tcp::socket& socket, duration timeout) -> void {
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
  const auto seconds = std::max<std::int64_t>(milliseconds / 1000 - kProbes, 1);
  auto ignored = boost::system::error_code{};
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(user_timeout(static_cast<int>(milliseconds)), ignored);
  socket.set_option(keep_idle(static_cast<int>(seconds)), ignored);
  socket.set_option(keep_interval(1), ignored);
  socket.set_option(keep_count(kProbes), ignored);
}

}  // namespace daisywind::net
