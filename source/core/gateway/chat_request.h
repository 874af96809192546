// Reading of chat-completions bodies.
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

// What the scheduler needs of a chat call. The rest of the body is passed on.
struct chat_request {
  // A model, or an adapter that stands in for its model.
  std::string model;
  bool is_streamed = false;
  std::uint64_t max_tokens = kDefaultMaxTokens;
  // An upper bound of the prompt's tokens.
  std::uint64_t prompt_tokens = 0;
  // Chain digest after each message, as program::call_request wants it.
  std::vector<digest> history;
  // Names of the prompt's blocks, as engines report them.
  std::vector<digest> blocks;

  auto operator<=>(const chat_request&) const = default;
};

// Reads a body. Fails with document_error, which names the path.
auto ParseChatRequest(std::string_view body) -> leaf::result<chat_request>;

// The body to send to an engine: the caller's with the members that the system
// sets. The body must have been read by ParseChatRequest.
auto EngineBody(std::string_view body,
                std::uint64_t max_tokens,
                std::int64_t priority) -> std::string;

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_CHAT_REQUEST_H_
