#include "net/sse.h"

#include <doctest/doctest.h>

namespace daisywind::net {

TEST_CASE("events split at any position are reassembled") {
  const auto text = FormatSseEvent("one") + FormatSseEvent("two");
  for (auto cut = std::size_t{0}; cut <= text.size(); ++cut) {
    auto parser = sse_parser{};
    auto events = parser.Feed(std::string_view(text).substr(0, cut));
    for (auto& event : parser.Feed(std::string_view(text).substr(cut))) {
      events.push_back(std::move(event));
    }
    CHECK(events == std::vector<std::string>{"one", "two"});
  }
}

TEST_CASE("comments and other fields are ignored") {
  auto parser = sse_parser{};
  CHECK(parser.Feed(": ping\n\nevent: x\r\ndata: a\r\n\r\n") ==
        std::vector<std::string>{"a"});
}

TEST_CASE("an event beyond the maximum size stops the parser") {
  auto parser = sse_parser{};
  parser.Feed("data: " + std::string(sse_parser::kMaxEventBytes, 'x'));
  CHECK(parser.HasOverflowed());
  CHECK(parser.Feed("\n\n").empty());
}

}  // namespace daisywind::net
