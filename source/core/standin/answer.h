// The answers of the stand-ins. They follow from the request alone, so that a
// client can check them.
#ifndef DAISYWIND_STANDIN_ANSWER_H_
#define DAISYWIND_STANDIN_ANSWER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/json.h"

namespace daisywind::standin {

// Size of a token of prompt text, in bytes.
inline constexpr std::size_t kTokenBytes = 4;

// Size of a block of the prefix cache, in tokens.
inline constexpr std::size_t kBlockTokens = 16;

// The bound on an answer whose request names none, in tokens.
inline constexpr std::int64_t kDefaultMaxTokens = 64;

// The contents of all messages, in order and without separators.
auto PromptText(const json::array& messages) -> std::string;

// Number of tokens of a prompt text, rounded up.
auto CountTokens(std::string_view text) -> std::size_t;

// Names of the whole blocks of a text. Each name covers the text before it.
auto BlockNames(std::string_view text) -> std::vector<std::string>;

// The answer of a model to messages, split into its tokens. Joined, they are
// the text of the answer.
auto AnswerTokens(std::string_view model,
                  const json::array& messages,
                  std::int64_t max_tokens) -> std::vector<std::string>;

// The whole answer of a model to messages.
auto ExpectedAnswer(std::string_view model,
                    const json::array& messages,
                    std::int64_t max_tokens = kDefaultMaxTokens) -> std::string;

// The body with which a plain service answers a call.
auto ExpectedServiceAnswer(std::string_view path, std::string_view body)
    -> std::string;

}  // namespace daisywind::standin

#endif  // DAISYWIND_STANDIN_ANSWER_H_
