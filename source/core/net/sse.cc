#include "net/sse.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace daisywind::net {
namespace {

constexpr auto kDataField = std::string_view("data:");
constexpr auto kIdField = std::string_view("id:");

// The value of a line that has the given field.
auto ValueOf(std::string_view line, std::string_view field)
    -> std::optional<std::string_view> {
  if (!line.starts_with(field)) {
    return std::nullopt;
  }
  line.remove_prefix(field.size());
  if (line.starts_with(' ')) {
    line.remove_prefix(1);
  }
  return line;
}

auto ParseEvent(std::string text) -> sse_part {
  auto to = sse_part{};
  auto left = std::string_view(text);
  while (!left.empty()) {
    // The two bytes of a CRLF end a line and an empty one, which has no field.
    const auto line = left.substr(0, left.find_first_of("\r\n"));
    left.remove_prefix(std::min(left.size(), line.size() + 1));
    if (const auto data = ValueOf(line, kDataField)) {
      to.data +=
          to.data.empty() ? std::string(*data) : "\n" + std::string(*data);
    } else if (const auto id = ValueOf(line, kIdField)) {
      to.id = *id;
    }
  }
  to.text = std::move(text);
  return to;
}

}  // namespace

auto sse_scanner::Scan(std::string_view bytes) -> std::size_t {
  is_at_event_end_ = false;
  auto scanned = std::size_t{0};
  while (scanned < bytes.size() && !is_at_event_end_) {
    const auto byte = bytes[scanned++];
    const auto is_second_of_crlf = byte == '\n' && is_after_cr_;
    is_after_cr_ = byte == '\r';
    if (is_second_of_crlf) {
      continue;
    }
    if (byte == '\n' || byte == '\r') {
      EndLine();
      continue;
    }
    is_comment_ = line_bytes_ == 0 ? byte == ':' : is_comment_;
    ++line_bytes_;
  }
  return scanned;
}

auto sse_scanner::EndLine() -> void {
  is_at_event_end_ = line_bytes_ == 0;
  if (is_at_event_end_) {
    event_bytes_ = 0;
  } else if (!is_comment_ || event_bytes_ > 0) {
    event_bytes_ += line_bytes_ + 1;
  }
  line_bytes_ = 0;
  is_comment_ = false;
}

auto sse_splitter::Feed(std::string_view bytes) -> std::vector<sse_part> {
  auto parts = std::vector<sse_part>{};
  while (!bytes.empty()) {
    const auto scanned = scanner_.Scan(bytes);
    pending_ += bytes.substr(0, scanned);
    bytes.remove_prefix(scanned);
    if (scanner_.IsAtEventEnd()) {
      parts.push_back(ParseEvent(std::exchange(pending_, {})));
    } else if (scanner_.PartialBytes() == 0) {
      parts.push_back({std::exchange(pending_, {}), "", ""});
    }
  }
  return parts;
}

auto sse_parser::Feed(std::string_view bytes) -> std::vector<std::string> {
  auto events = std::vector<std::string>{};
  if (has_overflowed_) {
    return events;
  }
  for (auto& part : splitter_.Feed(bytes)) {
    if (!part.data.empty()) {
      events.push_back(std::move(part.data));
    }
  }
  has_overflowed_ = splitter_.PartialBytes() > kMaxEventBytes;
  return events;
}

auto FormatSseEvent(std::string_view data) -> std::string {
  return std::string(kDataField) + " " + std::string(data) + "\n\n";
}

}  // namespace daisywind::net
