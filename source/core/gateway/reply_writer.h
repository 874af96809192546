// Renders replies of the program system as HTTP responses to callers.
#ifndef DAISYWIND_GATEWAY_REPLY_WRITER_H_
#define DAISYWIND_GATEWAY_REPLY_WRITER_H_

#include <string>
#include <string_view>

#include "net/http_types.h"
#include "program/commands.h"

namespace daisywind::gateway {

// The headers that are common to all successful responses.
auto AnswerHeaders(const program::program_handle& handle) -> net::http_headers;

// The head of a streamed chat response.
auto StreamHead(const program::program_handle& handle) -> net::http_response;

// A server-sent event with text of a chat response. The offset is the number of
// bytes of text before it.
auto ChatChunk(std::string_view model,
               std::string_view text,
               std::uint64_t offset) -> std::string;

// The last events of a complete streamed chat response.
auto ChatStreamEnd(std::string_view model, const program::reply_end& end)
    -> std::string;

// The event that ends a stream whose remaining text is lost.
auto ChatStreamLost() -> std::string;

// A chat response that is not streamed.
auto ChatResponse(std::string_view model, const program::reply_end& end)
    -> net::http_response;

// The unchanged response of a service.
auto ServiceResponse(const program::reply_end& end) -> net::http_response;

// A response with the state of a program.
auto ProgramResponse(unsigned status, const program::program_view& view)
    -> net::http_response;

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_REPLY_WRITER_H_
