#include "front/attempt_options.h"

#include <utility>

#include "common/logging.h"
#include "common/process_clock.h"

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

auto RecordLeaving(dispatch::endpoint_table& endpoints,
                   const dispatch::endpoint& entry,
                   const response_metadata& response,
                   std::string_view request_id) -> void {
  // A misdirected request was answered by another endpoint than the named one.
  if (!response.is_leaving || response.is_misdirected ||
      !endpoints.SetLeaving(entry, Now())) {
    return;
  }
  Log(log_events::kEndpointLeaves,
      {{"endpoint", std::string_view(entry.id.value)},
       {"request", request_id}});
}

}  // namespace daisywind::front
