#include "net/sse.h"

#include <doctest/doctest.h>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

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

TEST_CASE("lines may end with CR, LF or CRLF") {
  for (const auto* end : {"\r", "\n", "\r\n"}) {
    const auto line_end = std::string(end);
    auto text = std::string{};
    for (const auto* line :
         {"id: 1", "data: a", "", ": ping", "data: b", "data: c", ""}) {
      text += line + line_end;
    }
    for (auto cut = std::size_t{0}; cut <= text.size(); ++cut) {
      auto parser = sse_parser{};
      auto events = parser.Feed(std::string_view(text).substr(0, cut));
      for (auto& event : parser.Feed(std::string_view(text).substr(cut))) {
        events.push_back(std::move(event));
      }
      CHECK(events == std::vector<std::string>{"a", "b\nc"});
    }
  }
}

TEST_CASE("a stream is split after each complete event, with nothing lost") {
  for (const auto* end : {"\r", "\n", "\r\n"}) {
    const auto line_end = std::string(end);
    auto text = std::string{};
    for (const auto* line :
         {": hello", "id: 7", "data: a", "", ": ping", "x-version: 2", "id:8",
          "data: b", "", "data: cut"}) {
      text += line + line_end;
    }
    for (auto cut = std::size_t{0}; cut <= text.size(); ++cut) {
      auto splitter = sse_splitter{};
      auto parts = splitter.Feed(std::string_view(text).substr(0, cut));
      for (auto& part : splitter.Feed(std::string_view(text).substr(cut))) {
        parts.push_back(std::move(part));
      }
      auto joined = std::string{};
      auto events = std::vector<std::pair<std::string, std::string>>{};
      for (const auto& part : parts) {
        joined += part.text;
        if (!part.data.empty()) {
          events.emplace_back(part.id, part.data);
        }
      }
      CHECK(text.starts_with(joined));
      CHECK(joined.find("cut") == std::string::npos);
      CHECK(splitter.PartialBytes() > 0);
      CHECK(events == std::vector<std::pair<std::string, std::string>>{
                          {"7", "a"}, {"8", "b"}});
    }
  }
}

TEST_CASE("bytes after the last complete event are counted") {
  const auto cases = std::vector<std::pair<std::string_view, std::size_t>>{
      {"", 0},
      {"data: a\n\n", 0},
      {"data: a\r\n\r\n", 0},
      {"data: a\r\r", 0},
      {"data: a\r\n\r", 0},
      {"data: a\n\n\n", 0},
      {"data: a\n\n: a comment\n", 0},
      {"data: a\n", 8},
      {"data: a\r\n", 8},
      {"data: a\n\nda", 2},
      {"data: a\n\nid: 2\ndata", 10},
      {"data: a\n\n: a com", 7},
      {"id: 2\n: a comment\n", 18},
  };
  for (const auto& item : cases) {
    // One byte at a time, so that each possible split is covered.
    auto scanner = sse_scanner{};
    for (const auto& byte : item.first) {
      scanner.Scan({&byte, 1});
    }
    CAPTURE(item.first);
    CHECK(scanner.PartialBytes() == item.second);
  }
}

TEST_CASE("a scan stops at the end of an event") {
  auto scanner = sse_scanner{};
  const auto text = std::string_view("data: a\n\ndata: b\n");
  CHECK(scanner.Scan(text) == 9);
  CHECK(scanner.IsAtEventEnd());
  CHECK(scanner.Scan(text.substr(9)) == 8);
  CHECK(!scanner.IsAtEventEnd());
}

}  // namespace daisywind::net
