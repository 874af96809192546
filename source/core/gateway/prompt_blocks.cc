#include "gateway/prompt_blocks.h"

namespace daisywind::gateway {

auto RenderPrompt(std::span<const prompt_message> messages) -> std::string {
  auto prompt = std::string{};
  for (const auto& message : messages) {
    prompt += message.content;
  }
  return prompt;
}

auto CountTokens(std::string_view prompt) -> std::uint64_t {
  return (prompt.size() + kBytesPerToken - 1) / kBytesPerToken;
}

auto HashBlocks(std::string_view prompt) -> std::vector<digest> {
  constexpr auto kBlockBytes = kBytesPerToken * kTokensPerBlock;
  auto hashes = std::vector<digest>{};
  auto hash = digest{};
  for (auto at = std::size_t{0}; at + kBlockBytes <= prompt.size();
       at += kBlockBytes) {
    hash = Extend(hash, prompt.substr(at, kBlockBytes));
    hashes.push_back(hash);
  }
  return hashes;
}

}  // namespace daisywind::gateway
