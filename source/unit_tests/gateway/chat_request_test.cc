#include "gateway/chat_request.h"

#include <doctest/doctest.h>

#include <boost/leaf/handle_errors.hpp>

namespace daisywind::gateway {
namespace {

auto PathOfError(std::string_view body) -> std::string {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(ParseChatRequest(body));
        return std::string("no error");
      },
      [](const document_error& error) { return error.path; },
      [] { return std::string("untyped error"); });
}

}  // namespace

TEST_CASE("a request is parsed with default values") {
  const auto request = ParseChatRequest(
      R"({"model":"agent","messages":[{"role":"user","content":"hola"}]})");
  REQUIRE(request);
  CHECK(request->model == "agent");
  CHECK_FALSE(request->is_streamed);
  CHECK(request->max_tokens == kDefaultMaxTokens);
  CHECK(request->history.size() == 1);
  CHECK(request->prompt_tokens > 0);
}

TEST_CASE("a longer prompt keeps the block hashes of its prefix") {
  const auto text = std::string(300, 'a');
  const auto first = R"({"role":"user","content":")" + text + R"("})";
  const auto more = R"({"role":"assistant","content":")" + text + R"("})";
  const auto shorter =
      ParseChatRequest(R"({"model":"m","messages":[)" + first + "]}");
  const auto longer = ParseChatRequest(R"({"model":"m","messages":[)" + first +
                                       "," + more + "]}");
  REQUIRE(shorter);
  REQUIRE(longer);
  REQUIRE(shorter->blocks.size() < longer->blocks.size());
  CHECK(std::equal(shorter->blocks.begin(), shorter->blocks.end(),
                   longer->blocks.begin()));
  CHECK(shorter->history.front() == longer->history.front());
}

TEST_CASE("errors name the JSON path in the body") {
  CHECK(PathOfError("[]").empty());
  CHECK(PathOfError("{}") == "/model");
  CHECK(PathOfError(R"({"model":"m"})") == "/messages");
  CHECK(PathOfError(R"({"model":"m","messages":[1]})") == "/messages/0");
  CHECK(PathOfError(R"({"model":"m","messages":[{"role":"user"}]})") ==
        "/messages/0/content");
  CHECK(PathOfError(R"({"model":"m","stream":1,"messages":[]})") == "/stream");
  CHECK(PathOfError(R"({"model":"m","max_tokens":0,"messages":[]})") ==
        "/max_tokens");
}

}  // namespace daisywind::gateway
