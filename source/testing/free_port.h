// Ports for servers that a test starts later.
#ifndef DAISYWIND_TESTING_FREE_PORT_H_
#define DAISYWIND_TESTING_FREE_PORT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>

#include "common/random.h"

namespace daisywind::testing {

// Returns a loopback port that no other user of this program gets: outside the
// range from which the system takes the ports of outgoing connections, and
// never the same one twice.
inline auto FreePort(boost::asio::io_context& context) -> std::uint16_t {
  using boost::asio::ip::tcp;
  constexpr auto kFirstPort = 10'000;
  constexpr auto kPorts = 20'000;
  static auto next_port =
      static_cast<int>(random_source(SystemSeed()).UniformBelow(kPorts));
  while (true) {
    const auto port =
        static_cast<std::uint16_t>(kFirstPort + next_port++ % kPorts);
    auto socket = tcp::socket(context, tcp::v4());
    auto error = boost::system::error_code{};
    socket.bind({boost::asio::ip::address_v4::loopback(), port}, error);
    if (!error) {
      return port;
    }
  }
}

}  // namespace daisywind::testing

#endif  // DAISYWIND_TESTING_FREE_PORT_H_
