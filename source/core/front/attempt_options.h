// Limits of attempts at endpoints, whether a front makes them for its own
// callers or for another front.
#ifndef DAISYWIND_FRONT_ATTEMPT_OPTIONS_H_
#define DAISYWIND_FRONT_ATTEMPT_OPTIONS_H_

#include <cstddef>
#include <functional>
#include <string>

#include "common/time.h"
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

}  // namespace daisywind::front

#endif  // DAISYWIND_FRONT_ATTEMPT_OPTIONS_H_
