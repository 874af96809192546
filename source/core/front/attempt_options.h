// What all attempts at endpoints share, whether a front makes them for its own
// callers or for another front: their limits, and what responses say of their
// endpoints.
#ifndef DAISYWIND_FRONT_ATTEMPT_OPTIONS_H_
#define DAISYWIND_FRONT_ATTEMPT_OPTIONS_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "common/time.h"
#include "dispatch/endpoint_table.h"
#include "front/platform_codecs.h"
#include "net/http_types.h"

namespace daisywind::front {

// After this time another endpoint is tried. The round trip to the farthest
// endpoint takes 40 ms.
inline constexpr auto kConnectTimeout = duration(400ms);
// Largest response of an endpoint.
inline constexpr auto kMaxResponseBytes = std::size_t{8} * 1024 * 1024;

// Returns whether a response belongs to a request, and logs those that do not.
// A response that names no request belongs to it only if it follows no others
// on the connection: an endpoint may write an earlier response once more. The
// codec must outlive the returned function.
auto MatchesRequest(const request_codec& requests, std::string request_id)
    -> std::function<bool(const net::http_response& head, bool follows_others)>;

// Records that an endpoint leaves if its response says so, and logs that if it
// is news. `entry` is that of the endpoint when the request was sent.
auto RecordLeaving(dispatch::endpoint_table& endpoints,
                   const dispatch::endpoint& entry,
                   const response_metadata& response,
                   std::string_view request_id) -> void;

}  // namespace daisywind::front

#endif  // DAISYWIND_FRONT_ATTEMPT_OPTIONS_H_
