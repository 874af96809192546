// Messages between a front that reaches no endpoint and one that makes an
// attempt on its behalf.
#ifndef DAISYWIND_RELAY_MESSAGES_H_
#define DAISYWIND_RELAY_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

#include "common/ids.h"
#include "common/time.h"
#include "net/http_client.h"
#include "net/http_types.h"

namespace daisywind::relay {

// Identifies an attempt on its connection.
using attempt_number = std::uint64_t;

// Asks the receiver to send a request to an endpoint, once.
struct attempt_request {
  endpoint_id endpoint;
  // Id of the caller's request, which the endpoint repeats in its response.
  std::string request_id;
  net::http_request request;
  // Maximum time until the head of the response.
  duration head_timeout{};
  // Whether a successful response is a stream of server-sent events.
  bool expects_events = false;
  // Whether the endpoint has refused the request before, so that it must not be
  // sent on a connection that may have carried it.
  bool needs_new_connection = false;

  auto operator<=>(const attempt_request&) const = default;
};

// The sender no longer waits for the response.
struct attempt_cancel {
  auto operator<=>(const attempt_cancel&) const = default;
};

// The head of the endpoint's response, without a body.
struct response_head {
  net::http_response head;
  net::body_framing framing = net::body_framing::kLength;

  auto operator<=>(const response_head&) const = default;
};

// The next part of its body.
struct response_part {
  std::string bytes;

  auto operator<=>(const response_part&) const = default;
};

// Nothing follows. Without a head before it, the outcome tells whether the
// endpoint may have executed the request.
struct response_end {
  net::http_outcome outcome = net::http_outcome::kNoAnswer;
  // Whether the body is complete; false without a head.
  bool is_complete = false;
  std::uint64_t partial_event_bytes = 0;
  std::string error;
  // Whether the relay can make no attempt at any endpoint for now.
  bool is_relay_unusable = false;

  auto operator<=>(const response_end&) const = default;
};

using message_body = std::variant<attempt_request,
                                  attempt_cancel,
                                  response_head,
                                  response_part,
                                  response_end>;

struct message {
  attempt_number id = 0;
  message_body body;

  auto operator<=>(const message&) const = default;
};

}  // namespace daisywind::relay

#endif  // DAISYWIND_RELAY_MESSAGES_H_
