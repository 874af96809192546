#include "net/http_types.h"

#include <doctest/doctest.h>

namespace daisywind::net {

TEST_CASE("the path and the query of a target are separated") {
  const auto request = http_request{"GET", "/a/b?x=1&name=a%20b&flag", {}, ""};
  CHECK(request.Path() == "/a/b");
  CHECK(request.Query("x") == "1");
  CHECK(request.Query("name") == "a b");
  CHECK(request.Query("flag") == "");
  CHECK_FALSE(request.Query("none").has_value());
}

TEST_CASE("header names are matched ignoring case") {
  const auto headers = http_headers{{"Idempotency-Key", "k"}};
  CHECK(FindHeader(headers, "idempotency-key") == "k");
  CHECK(FindHeader(headers, "other").empty());
}

TEST_CASE("socket addresses are parsed and formatted back to the same text") {
  for (const auto* text : {"127.0.0.1:80", "[::1]:8080"}) {
    const auto address = ParseSocketAddress(text);
    REQUIRE(address.has_value());
    CHECK(ToString(*address) == text);
  }
  for (const auto* text : {"", ":80", "127.0.0.1", "127.0.0.1:", "a:70000"}) {
    CHECK_FALSE(ParseSocketAddress(text).has_value());
  }
}

TEST_CASE("a stream of server-sent events is known by its media type") {
  for (const auto* type : {"text/event-stream", "Text/Event-Stream",
                           "text/event-stream; charset=utf-8",
                           "text/event-stream ;charset=utf-8"}) {
    CHECK(IsEventStream({200, {{"Content-Type", type}}, ""}));
  }
  CHECK(!IsEventStream({200, {{"Content-Type", "text/plain"}}, ""}));
  CHECK(!IsEventStream({200, {}, ""}));
}

}  // namespace daisywind::net
