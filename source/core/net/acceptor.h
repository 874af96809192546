// Opening of listening sockets.
#ifndef DAISYWIND_NET_ACCEPTOR_H_
#define DAISYWIND_NET_ACCEPTOR_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>

#include "net/http_types.h"

namespace daisywind::net {

// Opens, binds and listens; port 0 selects a free port. Returns the bound port,
// or 0 when it could not listen on the address; the reason is logged.
auto OpenAcceptor(boost::asio::ip::tcp::acceptor& acceptor,
                  const socket_address& address) -> std::uint16_t;

// Whether an address can be listened on now; the reason is logged if not.
auto CanListen(const socket_address& address) -> bool;

}  // namespace daisywind::net

#endif  // DAISYWIND_NET_ACCEPTOR_H_
