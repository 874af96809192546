#include "common/deflate.h"

#include <doctest/doctest.h>

#include <string>

namespace daisywind {
namespace {

auto Repetitive() -> std::string {
  auto text = std::string{};
  for (auto number = 0; number < 5000; ++number) {
    text += "route " + std::to_string(number) + " to a service\n";
  }
  return text;
}

TEST_CASE("compressed bytes are inflated to what they were") {
  for (const auto& text :
       {std::string(), std::string("\0a", 2), Repetitive()}) {
    const auto deflated = Deflate(text);
    CHECK(Inflate(deflated, text.size()) == text);
  }
  CHECK(Deflate(Repetitive()).size() < Repetitive().size() / 4);
}

TEST_CASE("damaged bytes are not inflated") {
  const auto text = Repetitive();
  const auto deflated = Deflate(text);
  CHECK_FALSE(Inflate(deflated, text.size() - 1));
  CHECK_FALSE(Inflate(deflated, text.size() + 1));
  CHECK_FALSE(Inflate(deflated.substr(0, deflated.size() / 2), text.size()));
  CHECK_FALSE(Inflate(deflated + "more", text.size()));
  CHECK_FALSE(Inflate("\xff\xff", 10));
  CHECK_FALSE(Inflate("", 10));
}

}  // namespace
}  // namespace daisywind
