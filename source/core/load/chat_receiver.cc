#include "load/chat_receiver.h"

#include <algorithm>
#include <cstdint>

namespace daisywind::load {
namespace {

constexpr std::string_view kEndOfStream = "[DONE]";

auto FirstChoice(const json::object& body) -> const json::object* {
  const auto* choices = ArrayOrNull(body, "choices");
  return choices == nullptr || choices->empty() ? nullptr
                                                : choices->front().if_object();
}

auto ReadError(const json::object& error) -> refusal {
  auto cause = ReadProblem(error);
  if (!error.contains("title")) {
    cause.reason = StringOr(error, "type", "stream_error");
  }
  return cause;
}

}  // namespace

auto chat_receiver::StartConnection() -> void {
  parser_ = net::sse_parser{};
  error_.reset();
  is_done_ = false;
}

auto chat_receiver::FeedStream(std::string_view bytes) -> void {
  for (const auto& data : parser_.Feed(bytes)) {
    HandleEvent(data);
  }
}

auto chat_receiver::HandleEvent(const std::string& data) -> void {
  if (data == kEndOfStream) {
    is_done_ = true;
    return;
  }
  const auto event = ParseObject(data);
  if (!event) {
    is_inconsistent_ = true;
    return;
  }
  if (const auto* error = ObjectOrNull(*event, "error")) {
    error_ = ReadError(*error);
    return;
  }
  if (const auto usage = ReadUsage(*event)) {
    usage_ = usage;
  }
  const auto* choice = FirstChoice(*event);
  const auto* delta =
      choice == nullptr ? nullptr : ObjectOrNull(*choice, "delta");
  if (delta != nullptr && delta->contains("content")) {
    const auto end = static_cast<std::int64_t>(text_.size());
    const auto offset = IntegerOr(*event, "offset", end);
    AppendText(static_cast<std::size_t>(offset),
               StringOr(*delta, "content", ""));
  }
}

auto chat_receiver::AppendText(std::size_t offset, std::string_view part)
    -> void {
  if (offset > text_.size()) {
    is_inconsistent_ = true;
    return;
  }
  const auto overlap = std::min(text_.size() - offset, part.size());
  const auto received = std::string_view(text_).substr(offset, overlap);
  if (received != part.substr(0, overlap)) {
    is_inconsistent_ = true;
    return;
  }
  text_ += part.substr(overlap);
}

auto chat_receiver::ParseResponse(std::string_view body) -> bool {
  const auto answer = ParseObject(body);
  const auto* choice = answer ? FirstChoice(*answer) : nullptr;
  const auto* message =
      choice == nullptr ? nullptr : ObjectOrNull(*choice, "message");
  if (message == nullptr) {
    return false;
  }
  text_ = StringOr(*message, "content", "");
  usage_ = ReadUsage(*answer);
  is_done_ = true;
  return true;
}

}  // namespace daisywind::load
