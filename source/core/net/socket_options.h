// Options of TCP sockets that Asio has no names for.
#ifndef DAISYWIND_NET_SOCKET_OPTIONS_H_
#define DAISYWIND_NET_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

#include "common/time.h"

namespace daisywind::net {

// Sends small writes at once and fails the connection when its peer has
// acknowledged nothing for the given time, also while it is idle. Failures to
// set an option are ignored: the connection works without.
auto DetectDeadPeer(boost::asio::ip::tcp::socket& socket, duration timeout)
    -> void;

}  // namespace daisywind::net

#endif  // DAISYWIND_NET_SOCKET_OPTIONS_H_
