#include "front/attempt_options.h"

#include <string_view>
#include <utility>

#include "common/logging.h"

namespace daisywind::front {

auto MatchesRequest(const request_codec& requests, std::string request_id)
    -> std::function<bool(const net::http_response& head,
                          bool follows_others)> {
  return [&requests, id = std::move(request_id)](const net::http_response& head,
                                                 bool follows_others) {
    const auto metadata = requests.ReadResponse(head);
    const auto is_match = metadata.request_id == id ||
                          (metadata.request_id.empty() && !follows_others);
    if (!is_match) {
      Log(log_events::kMismatchedResponse,
          {{"request", std::string_view(id)},
           {"answered", std::string_view(metadata.request_id)}});
    }
    return is_match;
  };
}

}  // namespace daisywind::front
