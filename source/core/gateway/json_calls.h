// Short calls to outside services that answer with JSON.
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

inline constexpr duration kShortCallBound = 2s;

// Options of a call that takes at most the bound for each of its steps.
auto ShortOptions(duration bound = kShortCallBound) -> net::http_options;

// Sends GET and returns the object of a 200 answer, or nothing.
auto GetObject(net::http_client& client,
               net::socket_address address,
               std::string target)
    -> boost::asio::awaitable<std::optional<json::object>>;

// A count that may be absent.
auto CountOr(const json::object& object, std::string_view key) -> std::uint64_t;

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_JSON_CALLS_H_
