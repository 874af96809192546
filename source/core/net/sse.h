// Parsing and formatting of server-sent events.
#ifndef DAISYWIND_NET_SSE_H_
#define DAISYWIND_NET_SSE_H_

#include <compare>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace daisywind::net {

// Finds the ends of events in a byte stream without storing it. Lines end with
// CR, LF or CRLF; an empty line ends an event.
class sse_scanner {
 public:
  // Scans bytes up to the end of the first event that ends in them, or all of
  // them if none does. Returns the number of bytes scanned.
  auto Scan(std::string_view bytes) -> std::size_t;

  // True when the last scan stopped at the end of an event.
  [[nodiscard]] auto IsAtEventEnd() const -> bool { return is_at_event_end_; }

  // Number of bytes of an event that has begun and not ended, with one byte for
  // the end of each line. Complete comment lines before its first field do not
  // count, because they belong to no event.
  [[nodiscard]] auto PartialBytes() const -> std::size_t {
    return event_bytes_ + line_bytes_;
  }

 private:
  auto EndLine() -> void;

  // Bytes of the complete lines of the current event.
  std::size_t event_bytes_ = 0;
  // Bytes of the current line.
  std::size_t line_bytes_ = 0;
  bool is_comment_ = false;
  bool is_after_cr_ = false;
  bool is_at_event_end_ = false;
};

// A part of a stream that ends with a complete event, or a run of complete
// comment lines between events, whose data and id are empty.
struct sse_part {
  // The bytes as received, with those of the line ends.
  std::string text;
  std::string id;
  std::string data;

  auto operator<=>(const sse_part&) const = default;
};

// Splits a byte stream after each complete event. The texts of all parts,
// joined, are the stream up to its last complete event.
class sse_splitter {
 public:
  // Adds bytes and returns the parts that they complete.
  auto Feed(std::string_view bytes) -> std::vector<sse_part>;

  // See sse_scanner.
  [[nodiscard]] auto PartialBytes() const -> std::size_t {
    return scanner_.PartialBytes();
  }

 private:
  sse_scanner scanner_;
  std::string pending_;
};

// Incremental parser that extracts the data of each complete event from a byte
// stream. Other fields are ignored.
class sse_parser {
 public:
  // Maximum size of an event, in bytes.
  static constexpr std::size_t kMaxEventBytes = std::size_t{1} << 20U;

  // Parses more bytes and returns the data of the events that they complete.
  auto Feed(std::string_view bytes) -> std::vector<std::string>;

  // True once an event exceeded kMaxEventBytes. Feed then returns no more
  // events.
  [[nodiscard]] auto HasOverflowed() const -> bool { return has_overflowed_; }

 private:
  sse_splitter splitter_;
  bool has_overflowed_ = false;
};

// Formats one event. The data must not contain a line break.
auto FormatSseEvent(std::string_view data) -> std::string;

}  // namespace daisywind::net

#endif  // DAISYWIND_NET_SSE_H_
