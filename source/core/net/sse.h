// Parsing and formatting of server-sent events.
#ifndef DAISYWIND_NET_SSE_H_
#define DAISYWIND_NET_SSE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace daisywind::net {

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
  std::string pending_;
  bool has_overflowed_ = false;
};

// Formats one event. The data must not contain a line break.
auto FormatSseEvent(std::string_view data) -> std::string;

}  // namespace daisywind::net

#endif  // DAISYWIND_NET_SSE_H_
