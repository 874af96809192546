#include "common/log_events.h"

#include <doctest/doctest.h>

#include <fstream>
#include <iterator>
#include <string>
#include <string_view>

namespace daisywind {
namespace {

auto DocumentedCatalogue() -> std::string {
  auto stream = std::ifstream("docs/LOG-EVENTS.md");
  return {std::istreambuf_iterator<char>(stream),
          std::istreambuf_iterator<char>()};
}

auto DocumentedRow(const log_event& event) -> std::string {
  return "| " + std::to_string(event.number) + " | " +
         std::string(LoggerName(event.subsystem)) + " | " +
         std::string(LevelName(event.level)) + " | " + std::string(event.text) +
         " |";
}

}  // namespace

TEST_CASE("event numbers ascend and are unique") {
  auto last = std::uint16_t{0};
  for (const auto& event : LogCatalogue()) {
    CHECK(event.number > last);
    last = event.number;
  }
}

TEST_CASE("the documented catalogue lists every event with its attributes") {
  const auto text = DocumentedCatalogue();
  for (const auto& event : LogCatalogue()) {
    CHECK_MESSAGE(text.find(DocumentedRow(event)) != std::string::npos,
                  DocumentedRow(event));
  }
}

TEST_CASE("the documented catalogue lists no other events") {
  const auto text = DocumentedCatalogue();
  auto rows = std::size_t{0};
  constexpr auto kRowStart = std::string_view("\n| ");
  for (auto at = text.find(kRowStart); at != std::string::npos;
       at = text.find(kRowStart, at + 1)) {
    const auto first = text[at + kRowStart.size()];
    rows += first >= '0' && first <= '9' ? 1 : 0;
  }
  CHECK(rows == LogCatalogue().size());
}

}  // namespace daisywind
