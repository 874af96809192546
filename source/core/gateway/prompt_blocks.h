// Splits prompts into cache blocks in the same way as the engines.
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

// One message of a prompt. Refers to the text of the parsed body, which must
// outlive it.
struct prompt_message {
  std::string_view role;
  std::string_view content;

  auto operator<=>(const prompt_message&) const = default;
};

// Returns the text of a prompt, concatenated from its messages as engines do.
auto RenderPrompt(std::span<const prompt_message> messages) -> std::string;

// Number of tokens of a rendered prompt, rounded up.
auto CountTokens(std::string_view prompt) -> std::uint64_t;

// Hashes of the full blocks of a rendered prompt, in order. Each hash covers
// all text up to the end of its block, so that equal hashes mean equal
// prefixes.
auto HashBlocks(std::string_view prompt) -> std::vector<digest>;

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_PROMPT_BLOCKS_H_
