// JSON of chat completions, in the non-streaming and the streaming form.
#ifndef DAISYWIND_STANDIN_CHAT_JSON_H_
#define DAISYWIND_STANDIN_CHAT_JSON_H_

#include <cstddef>
#include <string>
#include <vector>

#include "common/json.h"
#include "standin/engine_batch.h"

namespace daisywind::standin {

// The body of a non-streaming response. The run must have finished.
auto CompletionBody(const engine_run& run) -> json::object;

// The data fields of the stream events that are available, starting at index
// `first`. A stream consists of one event per token, the finish reason, the
// usage if requested, and "[DONE]".
auto StreamEvents(const engine_run& run, std::size_t first, bool includes_usage)
    -> std::vector<std::string>;

}  // namespace daisywind::standin

#endif  // DAISYWIND_STANDIN_CHAT_JSON_H_
