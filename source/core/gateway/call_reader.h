// Parses callers' HTTP requests into events of the program system.
#ifndef DAISYWIND_GATEWAY_CALL_READER_H_
#define DAISYWIND_GATEWAY_CALL_READER_H_

#include <variant>

#include "configuration/document.h"
#include "gateway/problem.h"
#include "net/http_types.h"
#include "program/events.h"

namespace daisywind::gateway {

// The parsed value, or the problem for which the request is refused.
template <class T>
using read_result = std::variant<T, problem>;

// The authenticated organisation of a caller and the installed configuration.
struct caller_context {
  organisation_id organisation;
  const configuration::document* document = nullptr;
};

// Parses POST /v1/programs.
auto ReadOpen(const net::http_request& request, const caller_context& caller)
    -> read_result<program::open_program>;

// Parses POST /v1/chat/completions.
auto ReadChatCall(const net::http_request& request,
                  const caller_context& caller)
    -> read_result<program::call_arrived>;

// Parses POST /v1/services/{service}/{path}.
auto ReadServiceCall(const net::http_request& request,
                     const caller_context& caller)
    -> read_result<program::call_arrived>;

// Parses a request about the program named in the Daisywind-Program header.
// Branch names are read from the body.
auto ReadControl(const net::http_request& request,
                 const caller_context& caller,
                 program::control_action action)
    -> read_result<program::control_arrived>;

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_CALL_READER_H_
