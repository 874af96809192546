#include "load/chat_receiver.h"

#include <doctest/doctest.h>

#include "load/call_client.h"

namespace daisywind::load {
namespace {

auto Event(const std::string& data) -> std::string {
  return net::FormatSseEvent(data);
}

auto Part(std::size_t offset, const std::string& text) -> std::string {
  return Event(R"({"offset":)" + std::to_string(offset) +
               R"(,"choices":[{"delta":{"content":")" + text + R"("}}]})");
}

}  // namespace

TEST_CASE("a resumed stream continues its text when parts are repeated") {
  auto receiver = chat_receiver();
  receiver.StartConnection();
  receiver.FeedStream(Part(0, "one ") + Part(4, "two"));
  CHECK_FALSE(receiver.IsDone());
  receiver.StartConnection();
  receiver.FeedStream(Part(4, "two three") + Event("[DONE]"));
  CHECK(receiver.IsDone());
  CHECK_FALSE(receiver.IsInconsistent());
  CHECK(receiver.text() == "one two three");
}

TEST_CASE("a differing repeated part and a gap are detected") {
  for (const auto& wrong : {Part(0, "two"), Part(7, "gap")}) {
    auto receiver = chat_receiver();
    receiver.StartConnection();
    receiver.FeedStream(Part(0, "one") + wrong);
    CHECK(receiver.IsInconsistent());
  }
}

TEST_CASE(
    "an error event in a stream is parsed as a refusal with its outcome") {
  auto receiver = chat_receiver();
  receiver.StartConnection();
  receiver.FeedStream(
      Event(R"({"error":{"title":"overloaded","outcome":"not_run"}})") +
      Event("[DONE]"));
  CHECK_FALSE(receiver.IsDone());
  REQUIRE(receiver.error());
  CHECK(receiver.error()->outcome == refusal_outcome::kNotRun);
  CHECK(receiver.error()->reason == "overloaded");
}

TEST_CASE("text and usage are parsed from a response that is not streamed") {
  auto receiver = chat_receiver();
  CHECK(receiver.ParseResponse(
      R"({"choices":[{"message":{"content":"text"}}],)"
      R"("usage":{"prompt_tokens":9,)"
      R"("prompt_tokens_details":{"cached_tokens":4}}})"));
  CHECK(receiver.text() == "text");
  CHECK(receiver.usage() == prompt_usage{9, 4});
  CHECK_FALSE(receiver.ParseResponse("{}"));
}

TEST_CASE("refusals are final when a retry can't succeed") {
  const auto response = net::http_response{
      402, {}, R"({"title":"budget_exceeded","outcome":"not_run"})"};
  const auto cause = ReadRefusal(response);
  CHECK(cause.is_final);
  CHECK(cause.outcome == refusal_outcome::kNotRun);
  const auto other = ReadRefusal({503, {{"Retry-After", "2"}}, "gone"});
  CHECK_FALSE(other.is_final);
  CHECK(other.outcome == refusal_outcome::kUnknown);
  CHECK(other.retry_after == 2s);
}

TEST_CASE("a handle of an older epoch does not replace a newer one") {
  auto session = program_session();
  session.Update("aa.2.vm-1@1.vm-2@1.-");
  session.Update("aa.1.vm-3@1.vm-1@1.-");
  CHECK(session.handle() == "aa.2.vm-1@1.vm-2@1.-");
  session.Update("aa.10.vm-2@1.vm-3@1.-");
  CHECK(EpochOf(session.handle()) == 10);
}

}  // namespace daisywind::load
