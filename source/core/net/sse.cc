#include "net/sse.h"

#include <algorithm>

namespace daisywind::net {
namespace {

constexpr std::string_view kDataField = "data:";

auto ExtractData(std::string_view event) -> std::string {
  auto data = std::string{};
  while (!event.empty()) {
    // The two bytes of a CRLF end a line and an empty one, which has no field.
    auto line = event.substr(0, event.find_first_of("\r\n"));
    event.remove_prefix(std::min(event.size(), line.size() + 1));
    if (!line.starts_with(kDataField)) {
      continue;
    }
    line.remove_prefix(kDataField.size());
    if (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    data += data.empty() ? std::string(line) : "\n" + std::string(line);
  }
  return data;
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

auto sse_parser::Feed(std::string_view bytes) -> std::vector<std::string> {
  auto events = std::vector<std::string>{};
  if (has_overflowed_) {
    return events;
  }
  while (!bytes.empty()) {
    const auto scanned = scanner_.Scan(bytes);
    pending_ += bytes.substr(0, scanned);
    bytes.remove_prefix(scanned);
    if (scanner_.IsAtEventEnd()) {
      auto data = ExtractData(pending_);
      if (!data.empty()) {
        events.push_back(std::move(data));
      }
    }
    if (scanner_.PartialBytes() == 0) {
      pending_.clear();
    }
  }
  has_overflowed_ = scanner_.PartialBytes() > kMaxEventBytes;
  return events;
}

auto FormatSseEvent(std::string_view data) -> std::string {
  return std::string(kDataField) + " " + std::string(data) + "\n\n";
}

}  // namespace daisywind::net
