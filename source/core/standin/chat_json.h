// The JSON of chat completions, whole and as a stream.
#ifndef DAISYWIND_STANDIN_CHAT_JSON_H_
#define DAISYWIND_STANDIN_CHAT_JSON_H_

#include <cstddef>
#include <string>
#include <vector>

#include "common/json.h"
#include "standin/engine_batch.h"

namespace daisywind::standin {

// The body of a whole answer. The run must have finished.
auto WholeAnswer(const engine_run& run) -> json::object;

// The data of the events of a stream that are ready, from a given one on. A
// stream is one event for each token, the reason of its end, the usage if it
// was asked for, and "[DONE]".
auto StreamEvents(const engine_run& run, std::size_t first, bool includes_usage)
    -> std::vector<std::string>;

}  // namespace daisywind::standin

#endif  // DAISYWIND_STANDIN_CHAT_JSON_H_
