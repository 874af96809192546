#include "gateway/chat_request.h"

#include <utility>

#include "gateway/prompt_blocks.h"
#include "program/types.h"

namespace daisywind::gateway {
namespace {

auto Fail(std::string path, std::string reason) -> leaf::error_id {
  return leaf::new_error(document_error{std::move(path), std::move(reason)});
}

auto TextOf(const json::string& text) -> std::string_view {
  return {text.data(), text.size()};
}

auto ReadMessage(const json::value& value, const std::string& path)
    -> leaf::result<prompt_message> {
  const auto* object = value.if_object();
  if (object == nullptr) {
    return Fail(path, "must be an object");
  }
  const auto* role = object->if_contains("role");
  if (role == nullptr || !role->is_string()) {
    return Fail(path + "/role", "must be a string");
  }
  const auto* content = object->if_contains("content");
  if (content == nullptr || !content->is_string()) {
    return Fail(path + "/content", "must be a string");
  }
  return prompt_message{TextOf(role->get_string()),
                        TextOf(content->get_string())};
}

auto ReadMessages(const json::object& body)
    -> leaf::result<std::vector<prompt_message>> {
  const auto* list = ArrayOrNull(body, "messages");
  if (list == nullptr || list->empty()) {
    return Fail("/messages", "must be an array with at least one message");
  }
  auto messages = std::vector<prompt_message>{};
  for (auto i = std::size_t{0}; i < list->size(); ++i) {
    BOOST_LEAF_AUTO(message,
                    ReadMessage((*list)[i], "/messages/" + std::to_string(i)));
    messages.push_back(message);
  }
  return messages;
}

auto ReadMaxTokens(const json::object& body) -> leaf::result<std::uint64_t> {
  const auto* member = body.if_contains("max_tokens");
  if (member == nullptr) {
    return kDefaultMaxTokens;
  }
  auto error = json::error_code{};
  const auto number = member->to_number<std::uint64_t>(error);
  if (error || number == 0 || number > kMaxMaxTokens) {
    return Fail("/max_tokens", "must be an integer from 1 to " +
                                   std::to_string(kMaxMaxTokens));
  }
  return number;
}

auto ReadStream(const json::object& body) -> leaf::result<bool> {
  const auto* member = body.if_contains("stream");
  if (member == nullptr) {
    return false;
  }
  if (!member->is_bool()) {
    return Fail("/stream", "must be true or false");
  }
  return member->get_bool();
}

}  // namespace

auto ParseChatRequest(std::string_view body) -> leaf::result<chat_request> {
  BOOST_LEAF_AUTO(value, ParseJson(body));
  const auto* object = value.if_object();
  if (object == nullptr) {
    return Fail("", "must be an object");
  }
  auto request = chat_request{};
  request.model = StringOr(*object, "model", "");
  if (request.model.empty()) {
    return Fail("/model", "must be a non-empty string");
  }
  BOOST_LEAF_ASSIGN(request.is_streamed, ReadStream(*object));
  BOOST_LEAF_ASSIGN(request.max_tokens, ReadMaxTokens(*object));
  BOOST_LEAF_AUTO(messages, ReadMessages(*object));
  auto chain = digest{};
  for (const auto& message : messages) {
    chain = Extend(chain, program::MessageText(message.role, message.content));
    request.history.push_back(chain);
  }
  const auto prompt = RenderPrompt(messages);
  request.prompt_tokens = CountTokens(prompt);
  request.blocks = HashBlocks(prompt);
  return request;
}

auto EngineBody(std::string_view body,
                std::uint64_t max_tokens,
                std::int64_t priority) -> std::string {
  auto object = json::parse({body.data(), body.size()}).get_object();
  object["stream"] = true;
  object["stream_options"] = json::object{{"include_usage", true}};
  object["max_tokens"] = max_tokens;
  object["priority"] = priority;
  return json::serialize(object);
}

}  // namespace daisywind::gateway
