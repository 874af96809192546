#include "kv/watch_stream.h"

#include <utility>

namespace daisywind::kv {

watch_stream::watch_stream(std::unique_ptr<net::http_body_stream> body)
    : body_(std::move(body)) {}

auto watch_stream::Next()
    -> boost::asio::awaitable<std::optional<std::vector<watch_change>>> {
  while (true) {
    while (const auto line = TakeLine()) {
      auto message = DecodeWatch(*line);
      if (!message || message->is_canceled) {
        co_return std::nullopt;
      }
      if (!message->changes.empty()) {
        co_return std::move(message->changes);
      }
    }
    const auto part = co_await body_->Next();
    if (!part || pending_.size() + part->size() > kMaxMessageBytes) {
      co_return std::nullopt;
    }
    pending_ += *part;
  }
}

auto watch_stream::Cancel() -> void {
  body_->Cancel();
}

auto watch_stream::TakeLine() -> std::optional<std::string> {
  const auto end = pending_.find('\n');
  if (end == std::string::npos) {
    return std::nullopt;
  }
  auto line = pending_.substr(0, end);
  pending_.erase(0, end + 1);
  return line;
}

}  // namespace daisywind::kv
