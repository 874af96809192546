// Parses the bodies of chat-completions requests.
#ifndef DAISYWIND_GATEWAY_CHAT_REQUEST_H_
#define DAISYWIND_GATEWAY_CHAT_REQUEST_H_

#include <boost/leaf/result.hpp>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/digest.h"
#include "common/json.h"

namespace daisywind::gateway {

inline constexpr std::uint64_t kDefaultMaxTokens = 256;
inline constexpr std::uint64_t kMaxMaxTokens = 65'536;

// The properties of a chat call that scheduling needs. The rest of the body is
// passed on to the engine unparsed.
struct chat_request {
  // Name of a model or of an adapter, which selects its base model.
  std::string model;
  bool is_streamed = false;
  std::uint64_t max_tokens = kDefaultMaxTokens;
  // Upper bound of the number of prompt tokens.
  std::uint64_t prompt_tokens = 0;
  // Chained digest after each message, as program::call_request expects it.
  std::vector<digest> history;
  // Hashes of the prompt's cache blocks, as engines report them.
  std::vector<digest> blocks;

  auto operator<=>(const chat_request&) const = default;
};

// Parses a body. Fails with document_error, which names the JSON path.
auto ParseChatRequest(std::string_view body) -> leaf::result<chat_request>;

// Returns the body to send to an engine: the caller's body with the stream
// options, max_tokens and priority set by the gateway. The body must have been
// accepted by ParseChatRequest.
auto EngineBody(std::string_view body,
                std::uint64_t max_tokens,
                std::int64_t priority) -> std::string;

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_CHAT_REQUEST_H_
