// Collects the text of a chat answer over one or more connections.
#ifndef DAISYWIND_LOAD_CHAT_RECEIVER_H_
#define DAISYWIND_LOAD_CHAT_RECEIVER_H_

#include <optional>
#include <string>
#include <string_view>

#include "load/reply.h"
#include "net/sse.h"

namespace daisywind::load {

class chat_receiver {
 public:
  // Starts a new connection. The text received so far is kept.
  auto StartConnection() -> void;

  // Takes bytes of a stream of server-sent events.
  auto FeedStream(std::string_view bytes) -> void;

  // Takes a whole answer in place of a stream. Returns false when it is none.
  auto TakeWhole(std::string_view body) -> bool;

  [[nodiscard]] auto text() const -> const std::string& { return text_; }
  [[nodiscard]] auto usage() const -> const std::optional<prompt_usage>& {
    return usage_;
  }

  // True when the end of the stream has come and no error before it.
  [[nodiscard]] auto IsDone() const -> bool { return is_done_ && !error_; }

  // True when a repeated part differs from what had come before.
  [[nodiscard]] auto IsMixed() const -> bool { return is_mixed_; }

  // The error that the last connection ended with, if any.
  [[nodiscard]] auto error() const -> const std::optional<refusal>& {
    return error_;
  }

 private:
  auto TakeEvent(const std::string& data) -> void;
  auto TakeText(std::size_t offset, std::string_view part) -> void;

  net::sse_parser parser_;
  std::string text_;
  std::optional<prompt_usage> usage_;
  std::optional<refusal> error_;
  bool is_done_ = false;
  bool is_mixed_ = false;
};

}  // namespace daisywind::load

#endif  // DAISYWIND_LOAD_CHAT_RECEIVER_H_
