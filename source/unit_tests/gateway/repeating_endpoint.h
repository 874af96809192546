// An endpoint that sends responses twice.
#ifndef DAISYWIND_UNIT_TESTS_GATEWAY_REPEATING_ENDPOINT_H_
#define DAISYWIND_UNIT_TESTS_GATEWAY_REPEATING_ENDPOINT_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <string>

namespace daisywind::gateway {

// Starts an endpoint that answers each request with what the function returns.
// On a kept connection it writes its last response once more before the next
// one. Returns its port.
auto StartRepeatingEndpoint(boost::asio::io_context& context,
                            std::function<std::string()> next_response)
    -> std::uint16_t;

}  // namespace daisywind::gateway

#endif  // DAISYWIND_UNIT_TESTS_GATEWAY_REPEATING_ENDPOINT_H_
