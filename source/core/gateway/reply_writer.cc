#include "gateway/reply_writer.h"

#include <chrono>
#include <utility>

#include "common/json.h"
#include "net/sse.h"

namespace daisywind::gateway {
namespace {

auto Usage(const program::call_answer& answer) -> json::object {
  auto usage = json::object{};
  usage["prompt_tokens"] = answer.prompt_tokens;
  usage["completion_tokens"] = answer.answer_tokens;
  auto details = json::object{};
  details["cached_tokens"] = answer.cached_tokens;
  usage["prompt_tokens_details"] = std::move(details);
  usage["total_tokens"] = answer.prompt_tokens + answer.answer_tokens;
  return usage;
}

auto ChunkObject(std::string_view model) -> json::object {
  auto chunk = json::object{};
  chunk["object"] = "chat.completion.chunk";
  chunk["model"] = model;
  return chunk;
}

auto ToJson(const program::budget& value) -> json::object {
  auto object = json::object{};
  object["tokens"] = value.tokens;
  object["calls"] = value.calls;
  object["seconds"] =
      std::chrono::duration_cast<std::chrono::seconds>(value.time).count();
  return object;
}

auto ToJson(const program::branch_view& branch) -> json::object {
  auto object = json::object{};
  object["name"] = branch.name.value;
  object["parent"] = branch.parent.value;
  object["last_turn"] = branch.last_turn;
  object["is_running"] = branch.is_running;
  object["is_joined"] = branch.is_joined;
  return object;
}

}  // namespace

auto AnswerHeaders(const program::program_handle& handle) -> net::http_headers {
  auto headers = net::http_headers{{"Daisywind-Outcome", "done"}};
  if (handle.program != program_id{}) {
    headers.push_back({"Daisywind-Program", program::ToString(handle)});
  }
  return headers;
}

auto StreamHead(const program::program_handle& handle) -> net::http_response {
  auto head = net::http_response{200, AnswerHeaders(handle), ""};
  head.headers.push_back({"Content-Type", "text/event-stream"});
  return head;
}

auto ChatChunk(std::string_view model,
               std::string_view text,
               std::uint64_t offset) -> std::string {
  auto delta = json::object{};
  delta["content"] = text;
  auto choice = json::object{};
  choice["index"] = 0;
  choice["delta"] = std::move(delta);
  auto chunk = ChunkObject(model);
  chunk["offset"] = offset;
  chunk["choices"] = json::array{std::move(choice)};
  return net::FormatSseEvent(json::serialize(chunk));
}

auto ChatStreamEnd(std::string_view model, const program::reply_end& end)
    -> std::string {
  auto choice = json::object{};
  choice["index"] = 0;
  choice["delta"] = json::object{};
  choice["finish_reason"] = "stop";
  auto chunk = ChunkObject(model);
  chunk["choices"] = json::array{std::move(choice)};
  chunk["usage"] = Usage(end.answer);
  return net::FormatSseEvent(json::serialize(chunk)) +
         net::FormatSseEvent("[DONE]");
}

auto ChatStreamLost() -> std::string {
  return net::FormatSseEvent(
      R"({"error":{"type":"stream_lost","outcome":"unknown"}})");
}

auto ChatResponse(std::string_view model, const program::reply_end& end)
    -> net::http_response {
  auto message = json::object{};
  message["role"] = "assistant";
  message["content"] = program::BytesOf(end.answer.body);
  auto choice = json::object{};
  choice["index"] = 0;
  choice["message"] = std::move(message);
  choice["finish_reason"] = "stop";
  auto body = json::object{};
  body["object"] = "chat.completion";
  body["model"] = model;
  body["choices"] = json::array{std::move(choice)};
  body["usage"] = Usage(end.answer);
  auto response = net::JsonResponse(200, json::serialize(body));
  for (auto& header : AnswerHeaders(end.handle)) {
    response.headers.push_back(std::move(header));
  }
  return response;
}

auto ServiceResponse(const program::reply_end& end) -> net::http_response {
  auto response = net::http_response{
      static_cast<unsigned>(end.answer.status), AnswerHeaders(end.handle),
      std::string(program::BytesOf(end.answer.body))};
  if (!end.answer.content_type.empty()) {
    response.headers.push_back({"Content-Type", end.answer.content_type});
  }
  return response;
}

auto ProgramResponse(unsigned status, const program::program_view& view)
    -> net::http_response {
  auto body = json::object{};
  body["program"] = program::ToString(view.handle);
  body["branch"] = "main";
  body["class"] = view.service_class.value;
  body["budget"] = ToJson(view.limits);
  body["used"] = ToJson(view.used);
  body["reserved"] = ToJson(view.reserved);
  body["is_ended"] = view.is_ended;
  auto branches = json::array{};
  for (const auto& branch : view.branches) {
    branches.push_back(ToJson(branch));
  }
  body["branches"] = std::move(branches);
  auto response = net::JsonResponse(status, json::serialize(body));
  for (auto& header : AnswerHeaders(view.handle)) {
    response.headers.push_back(std::move(header));
  }
  return response;
}

}  // namespace daisywind::gateway
