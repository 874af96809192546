// The answers of the stand-ins. They are a deterministic function of the
// request, so that a client can verify them.
#ifndef DAISYWIND_STANDIN_ANSWER_H_
#define DAISYWIND_STANDIN_ANSWER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/json.h"

namespace daisywind::standin {

// Size of a prompt token, in bytes.
inline constexpr std::size_t kTokenBytes = 4;

// Size of a block of the prefix cache, in tokens.
inline constexpr std::size_t kBlockTokens = 16;

// Maximum length of an answer whose request sets no max_tokens, in tokens.
inline constexpr std::int64_t kDefaultMaxTokens = 64;

// The contents of all messages, concatenated in order.
auto PromptText(const json::array& messages) -> std::string;

// Number of tokens of a text; a partial last token counts as one.
auto CountTokens(std::string_view text) -> std::size_t;

// Hashes of the full blocks of a text; a partial last block has none. Each hash
// covers the text from its start to the end of the block.
auto HashBlocks(std::string_view text) -> std::vector<std::string>;

// The answer of a model to messages, as tokens whose concatenation is its text.
// A max_tokens below 1 counts as 1.
auto AnswerTokens(std::string_view model,
                  const json::array& messages,
                  std::int64_t max_tokens) -> std::vector<std::string>;

// The text of a model's answer to messages.
auto ExpectedAnswer(std::string_view model,
                    const json::array& messages,
                    std::int64_t max_tokens = kDefaultMaxTokens) -> std::string;

// The response body of a service stand-in to a call.
auto ExpectedServiceAnswer(std::string_view path, std::string_view body)
    -> std::string;

}  // namespace daisywind::standin

#endif  // DAISYWIND_STANDIN_ANSWER_H_
