// How engines cut prompts into cache blocks.
#ifndef DAISYWIND_GATEWAY_PROMPT_BLOCKS_H_
#define DAISYWIND_GATEWAY_PROMPT_BLOCKS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "common/digest.h"

namespace daisywind::gateway {

inline constexpr std::size_t kBytesPerToken = 4;
inline constexpr std::size_t kTokensPerBlock = 16;

// One message of a prompt. The texts belong to the parsed body.
struct prompt_message {
  std::string_view role;
  std::string_view content;

  auto operator<=>(const prompt_message&) const = default;
};

// The text of a prompt, as engines concatenate its messages.
auto RenderPrompt(std::span<const prompt_message> messages) -> std::string;

// Number of tokens of a rendered prompt, rounded up.
auto CountTokens(std::string_view prompt) -> std::uint64_t;

// Names of the whole blocks of a rendered prompt, in order. Each name covers
// all text before it.
auto HashBlocks(std::string_view prompt) -> std::vector<digest>;

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_PROMPT_BLOCKS_H_
