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

// With a time-out of at least this many seconds, two keep-alive probes are
// sent, so that the loss of one does not end an idle connection.
constexpr auto kMinSecondsForTwoProbes = std::int64_t{4};

}  // namespace

auto DetectDeadPeer(asio::ip::tcp::socket& socket, duration timeout) -> void {
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
  const auto whole_seconds = milliseconds / 1000;
  const auto probes = whole_seconds >= kMinSecondsForTwoProbes ? 2 : 1;
  // Keep-alive probes are one second apart, so that the idle time and one
  // second per probe add up to the time-out. The idle time is at least one
  // second.
  const auto idle_seconds = std::max<std::int64_t>(whole_seconds - probes, 1);
  auto ignored = boost::system::error_code{};
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(user_timeout(static_cast<int>(milliseconds)), ignored);
  socket.set_option(keep_idle(static_cast<int>(idle_seconds)), ignored);
  socket.set_option(keep_interval(/*seconds=*/1), ignored);
  socket.set_option(keep_count(probes), ignored);
}

}  // namespace daisywind::net
