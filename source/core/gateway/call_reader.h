// Reads callers' HTTP requests into events of the program system.
#ifndef DAISYWIND_GATEWAY_CALL_READER_H_
#define DAISYWIND_GATEWAY_CALL_READER_H_

#include <variant>

#include "configuration/document.h"
#include "gateway/problem.h"
#include "net/http_types.h"
#include "program/events.h"

namespace daisywind::gateway {

// A value, or why the request can't be taken.
template <class T>
using read_result = std::variant<T, problem>;

// Who asks, and under which configuration.
struct caller_context {
  organisation_id organisation;
  const configuration::document* document = nullptr;
};

// Reads POST /v1/programs.
auto ReadOpen(const net::http_request& request, const caller_context& caller)
    -> read_result<program::open_program>;

// Reads POST /v1/chat/completions.
auto ReadChatCall(const net::http_request& request,
                  const caller_context& caller)
    -> read_result<program::call_arrived>;

// Reads POST /v1/services/{service}/{path}.
auto ReadServiceCall(const net::http_request& request,
                     const caller_context& caller)
    -> read_result<program::call_arrived>;

// Reads a request about the program in the header; branch names come from the
// body where the action has one.
auto ReadControl(const net::http_request& request,
                 const caller_context& caller,
                 program::control_action action)
    -> read_result<program::control_arrived>;

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_CALL_READER_H_
