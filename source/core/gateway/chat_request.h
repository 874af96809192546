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
  // Digest of each message, in order.
  std::vector<digest> messages;
  // Names of the prompt's blocks, as engines report them.
  std::vector<digest> blocks;

  auto operator<=>(const chat_request&) const = default;
};

// Reads a body. Fails with document_error, which names the path.
auto ParseChatRequest(std::string_view body) -> leaf::result<chat_request>;

// Digest of one message as it stands in a history.
auto MessageDigest(std::string_view role, std::string_view content) -> digest;

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_CHAT_REQUEST_H_
