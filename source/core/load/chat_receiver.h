// Assembles the text of a chat completion that may be streamed over several
// connections.
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
  // Resets the parser state for a new connection. The text received so far is
  // kept.
  auto StartConnection() -> void;

  // Parses bytes of a stream of server-sent events.
  auto FeedStream(std::string_view bytes) -> void;

  // Parses the body of a response that is not streamed. Returns false when it
  // is not a chat completion.
  auto ParseResponse(std::string_view body) -> bool;

  [[nodiscard]] auto text() const -> const std::string& { return text_; }
  [[nodiscard]] auto usage() const -> const std::optional<prompt_usage>& {
    return usage_;
  }

  // True when the end-of-stream marker arrived and the stream reported no
  // error.
  [[nodiscard]] auto IsDone() const -> bool { return is_done_ && !error_; }

  // True when an event was not a JSON object, a repeated part differed from the
  // text received before, or a part left a gap in the text.
  [[nodiscard]] auto IsInconsistent() const -> bool { return is_inconsistent_; }

  // The error event of the last connection, if there was one.
  [[nodiscard]] auto error() const -> const std::optional<refusal>& {
    return error_;
  }

 private:
  auto HandleEvent(const std::string& data) -> void;
  auto AppendText(std::size_t offset, std::string_view part) -> void;

  net::sse_parser parser_;
  std::string text_;
  std::optional<prompt_usage> usage_;
  std::optional<refusal> error_;
  bool is_done_ = false;
  bool is_inconsistent_ = false;
};

}  // namespace daisywind::load

#endif  // DAISYWIND_LOAD_CHAT_RECEIVER_H_
