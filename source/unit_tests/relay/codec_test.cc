#include "relay/codec.h"

#include <doctest/doctest.h>

#include <vector>

namespace daisywind::relay {
namespace {

auto AllMessages() -> std::vector<message_body> {
  return {
      attempt_request{endpoint_id("e"),
                      "r1",
                      {"POST", "/a?b", {{"Host", "h"}, {"X", ""}}, "body"},
                      1500ms,
                      true},
      attempt_request{},
      attempt_cancel{},
      response_head{{200, {{"Id", "r1"}}, ""}, net::body_framing::kConnection},
      response_part{std::string("\0\xff", 2)},
      response_end{net::http_outcome::kNotSent, false, 3, "why", true},
      response_end{net::http_outcome::kAnswered, true, 0, "", false}};
}

TEST_CASE("every message is decoded as it was encoded") {
  for (const auto& body : AllMessages()) {
    const auto from = message{7, body};
    CHECK(DecodeMessage(EncodeMessage(from)) == from);
  }
}

TEST_CASE("truncated and foreign frames are no messages") {
  CHECK(!DecodeMessage(""));
  CHECK(!DecodeMessage(std::string(64, 'x')));
  for (const auto& body : AllMessages()) {
    const auto frame = EncodeMessage({7, body});
    for (auto size = std::size_t{0}; size < frame.size() / 2; ++size) {
      CHECK(!DecodeMessage(frame.substr(0, size)));
    }
  }
}

}  // namespace
}  // namespace daisywind::relay
