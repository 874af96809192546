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
  auto names = std::vector<digest>{};
  auto name = digest{};
  for (auto at = std::size_t{0}; at + kBlockBytes <= prompt.size();
       at += kBlockBytes) {
    name = Extend(name, prompt.substr(at, kBlockBytes));
    names.push_back(name);
  }
  return names;
}

}  // namespace daisywind::gateway
