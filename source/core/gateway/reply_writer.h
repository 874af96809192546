// Renders replies of the program system for callers.
#ifndef DAISYWIND_GATEWAY_REPLY_WRITER_H_
#define DAISYWIND_GATEWAY_REPLY_WRITER_H_

#include <string>
#include <string_view>

#include "net/http_types.h"
#include "program/commands.h"

namespace daisywind::gateway {

// The headers that every answer to a call carries.
auto AnswerHeaders(const program::program_handle& handle) -> net::http_headers;

// The head of a streamed chat answer.
auto StreamHead(const program::program_handle& handle) -> net::http_response;

// One server-sent event with text of a chat answer. The offset counts the
// bytes of answer text before it.
auto ChatChunk(std::string_view model,
               std::string_view text,
               std::uint64_t offset) -> std::string;

// The last events of a whole streamed chat answer.
auto ChatStreamEnd(std::string_view model, const program::reply_end& end)
    -> std::string;

// The event that marks a streamed answer whose rest can't be had.
auto ChatStreamLost() -> std::string;

// A whole chat answer.
auto ChatResponse(std::string_view model, const program::reply_end& end)
    -> net::http_response;

// A service's answer, as it came.
auto ServiceResponse(const program::reply_end& end) -> net::http_response;

// The state of a program.
auto ProgramResponse(unsigned status, const program::program_view& view)
    -> net::http_response;

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_REPLY_WRITER_H_
