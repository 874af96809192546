#include "standin/chat_json.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace daisywind::standin {
namespace {

auto Usage(const engine_run& run) -> json::object {
  const auto answer_tokens = run.request.answer.size();
  const auto details = json::object{{"cached_tokens", run.cached_tokens}};
  return {{"prompt_tokens", run.prompt_tokens},
          {"completion_tokens", answer_tokens},
          {"total_tokens", run.prompt_tokens + answer_tokens},
          {"prompt_tokens_details", details}};
}

auto FinishReason(const engine_run& run) -> std::string_view {
  return run.request.is_truncated ? "length" : "stop";
}

auto CommonFields(const engine_run& run, std::string_view kind)
    -> json::object {
  return {{"id", "chatcmpl-" + run.request.id},
          {"object", kind},
          // Constant, in place of the time of creation.
          {"created", 0},
          {"model", run.request.model}};
}

auto Chunk(const engine_run& run, json::array choices) -> json::object {
  auto chunk = CommonFields(run, "chat.completion.chunk");
  chunk["choices"] = std::move(choices);
  return chunk;
}

auto TokenChunk(const engine_run& run, std::size_t index) -> std::string {
  auto delta = json::object{{"content", run.request.answer[index]}};
  if (index == 0) {
    delta["role"] = "assistant";
  }
  const auto choice = json::object{
      {"index", 0}, {"delta", std::move(delta)}, {"finish_reason", nullptr}};
  return json::serialize(Chunk(run, {choice}));
}

auto FinishChunk(const engine_run& run) -> std::string {
  const auto choice = json::object{{"index", 0},
                                   {"delta", json::object{}},
                                   {"finish_reason", FinishReason(run)}};
  return json::serialize(Chunk(run, {choice}));
}

auto UsageChunk(const engine_run& run) -> std::string {
  auto chunk = Chunk(run, {});
  chunk["usage"] = Usage(run);
  return json::serialize(chunk);
}

}  // namespace

auto CompletionBody(const engine_run& run) -> json::object {
  auto text = std::string{};
  for (const auto& token : run.request.answer) {
    text += token;
  }
  const auto message =
      json::object{{"role", "assistant"}, {"content", std::move(text)}};
  const auto choice = json::object{
      {"index", 0}, {"message", message}, {"finish_reason", FinishReason(run)}};
  auto body = CommonFields(run, "chat.completion");
  body["choices"] = json::array{choice};
  body["usage"] = Usage(run);
  return body;
}

auto StreamEvents(const engine_run& run, std::size_t first, bool includes_usage)
    -> std::vector<std::string> {
  auto events = std::vector<std::string>{};
  for (auto index = first; index < run.generated_tokens; ++index) {
    events.push_back(TokenChunk(run, index));
  }
  if (run.state != run_state::kFinished) {
    return events;
  }
  auto final_events = std::vector<std::string>{FinishChunk(run)};
  if (includes_usage) {
    final_events.push_back(UsageChunk(run));
  }
  final_events.emplace_back("[DONE]");
  // Indices beyond the last token denote final events. Those before `first` are
  // left out.
  const auto skipped = std::min(first - std::min(first, run.generated_tokens),
                                final_events.size());
  std::move(final_events.begin() + static_cast<std::ptrdiff_t>(skipped),
            final_events.end(), std::back_inserter(events));
  return events;
}

}  // namespace daisywind::standin
