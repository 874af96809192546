// Short HTTP requests to external services that respond with JSON.
#ifndef DAISYWIND_GATEWAY_JSON_CALLS_H_
#define DAISYWIND_GATEWAY_JSON_CALLS_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "common/json.h"
#include "common/time.h"
#include "net/http_client.h"

namespace daisywind::gateway {

inline constexpr duration kShortCallTimeout = 2s;

// Options that apply the timeout separately to the connect, the wait for the
// response head and each read of the body.
auto ShortOptions(duration timeout = kShortCallTimeout) -> net::http_options;

// Sends a GET request and returns the JSON object of a response with status
// 200, or nothing for any other result.
auto GetObject(net::http_client& client,
               net::socket_address address,
               std::string target)
    -> boost::asio::awaitable<std::optional<json::object>>;

// The integer under the key, or zero when it is absent or negative.
auto CountOrZero(const json::object& object, std::string_view key)
    -> std::uint64_t;

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_JSON_CALLS_H_
