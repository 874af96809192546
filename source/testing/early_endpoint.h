// An endpoint that responds before it has read the body of a request.
#ifndef DAISYWIND_TESTING_EARLY_ENDPOINT_H_
#define DAISYWIND_TESTING_EARLY_ENDPOINT_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

namespace daisywind::testing {

// What an endpoint does with a connection after its response, when it has read
// the head of the request and what came with it.
enum class connection_end : std::uint8_t {
  // Discards what is unsent and resets the connection.
  kReset,
  // Closes it with unread bytes, which resets it as well.
  kCloseUnread,
  // Closes its own direction and reads the request to the end.
  kCloseOwnDirection,
  // Closes its own direction, and then resets the connection.
  kCloseOwnDirectionThenReset,
};

// The ends before which the endpoint has not got the whole of a long request.
inline constexpr auto kEarlyEnds =
    std::array{connection_end::kReset, connection_end::kCloseUnread,
               connection_end::kCloseOwnDirectionThenReset};

// The name of an end in the output of a test.
auto EndName(connection_end end) -> std::string;

// The responses of an early endpoint, which are the same for all requests.
struct early_response {
  std::string bytes;
  connection_end end = connection_end::kReset;
  // Time between the response and the end.
  std::chrono::milliseconds pause{0};

  auto operator<=>(const early_response&) const = default;
};

// Starts such an endpoint on loopback. Returns its port.
auto StartEarlyEndpoint(boost::asio::io_context& context,
                        early_response response) -> std::uint16_t;

}  // namespace daisywind::testing

#endif  // DAISYWIND_TESTING_EARLY_ENDPOINT_H_
