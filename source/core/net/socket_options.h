// TCP socket options that Asio does not define.
#ifndef DAISYWIND_NET_SOCKET_OPTIONS_H_
#define DAISYWIND_NET_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

#include "common/time.h"

namespace daisywind::net {

// Disables Nagle's algorithm, and makes the connection fail when the peer has
// acknowledged nothing for the given time, even while it is idle. Failures to
// set an option are ignored, since the connection works without it.
auto DetectDeadPeer(boost::asio::ip::tcp::socket& socket, duration timeout)
    -> void;

}  // namespace daisywind::net

#endif  // DAISYWIND_NET_SOCKET_OPTIONS_H_
