#include "standin/answer.h"

#include <algorithm>
#include <array>

#include "common/digest.h"

namespace daisywind::standin {
namespace {

constexpr auto kMinAnswerTokens = std::uint64_t{20};
constexpr auto kAnswerTokenRange = std::uint64_t{41};
constexpr auto kBlockBytes = kBlockTokens * kTokenBytes;

constexpr auto kWords = std::to_array<std::string_view>({
    "the",     "corn",    "cart",    "route", "stock", "combo",  "topping",
    "north",   "plaza",   "shift",   "crew",  "line",  "bottle", "dispatch",
    "morning", "evening", "ready",   "low",   "high",  "move",   "hold",
    "refill",  "butter",  "cheese",  "lime",  "salt",  "plan",   "week",
    "monday",  "friday",  "confirm", "next",
});

// Hash of the model and of the role and content of each message.
auto AnswerSeed(std::string_view model, const json::array& messages)
    -> std::uint64_t {
  auto hash = PlacementHash(model);
  for (const auto& item : messages) {
    const auto* message = item.if_object();
    if (message == nullptr) {
      continue;
    }
    hash = PlacementHash(StringOr(*message, "role", ""), hash);
    hash = PlacementHash(StringOr(*message, "content", ""), hash);
  }
  return hash;
}

}  // namespace

auto PromptText(const json::array& messages) -> std::string {
  auto text = std::string{};
  for (const auto& item : messages) {
    const auto* message = item.if_object();
    if (message != nullptr) {
      text += StringOr(*message, "content", "");
    }
  }
  return text;
}

auto CountTokens(std::string_view text) -> std::size_t {
  return (text.size() + kTokenBytes - 1) / kTokenBytes;
}

auto HashBlocks(std::string_view text) -> std::vector<std::string> {
  auto hashes = std::vector<std::string>{};
  auto chain = digest{};
  while (text.size() >= kBlockBytes) {
    chain = Extend(chain, text.substr(0, kBlockBytes));
    hashes.push_back(ToString(chain));
    text.remove_prefix(kBlockBytes);
  }
  return hashes;
}

auto AnswerTokens(std::string_view model,
                  const json::array& messages,
                  std::int64_t max_tokens) -> std::vector<std::string> {
  const auto seed = AnswerSeed(model, messages);
  const auto length = kMinAnswerTokens + seed % kAnswerTokenRange;
  const auto limit =
      static_cast<std::uint64_t>(std::max<std::int64_t>(max_tokens, 1));
  auto tokens = std::vector<std::string>{};
  for (auto i = std::uint64_t{0}; i < std::min(length, limit); ++i) {
    const auto pick = PlacementHash(std::to_string(i), seed);
    const auto word = std::string(kWords[pick % kWords.size()]);
    tokens.push_back(i == 0 ? word : " " + word);
  }
  return tokens;
}

auto ExpectedAnswer(std::string_view model,
                    const json::array& messages,
                    std::int64_t max_tokens) -> std::string {
  auto text = std::string{};
  for (const auto& token : AnswerTokens(model, messages, max_tokens)) {
    text += token;
  }
  return text;
}

auto ExpectedServiceAnswer(std::string_view path, std::string_view body)
    -> std::string {
  const auto receipt = Extend(DigestOf(path), body);
  return R"({"receipt":")" + ToString(receipt) + R"("})";
}

}  // namespace daisywind::standin
