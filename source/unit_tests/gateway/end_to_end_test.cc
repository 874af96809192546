#include <doctest/doctest.h>

#include <string>

#include "deployment_fixture.h"
#include "net/sse.h"
#include "standin/answer.h"

namespace daisywind::gateway {
namespace {

namespace asio = boost::asio;

auto UserMessage(std::string_view text) -> json::object {
  return {{"role", "user"}, {"content", text}};
}

auto AssistantMessage(std::string_view text) -> json::object {
  return {{"role", "assistant"}, {"content", text}};
}

auto Chat(const json::array& messages, bool is_streamed = false)
    -> json::object {
  return {{"model", "agent"}, {"messages", messages}, {"stream", is_streamed}};
}

auto TurnHeaders(const std::string& handle, int turn) -> net::http_headers {
  return {{"Daisywind-Program", handle},
          {"Daisywind-Turn", std::to_string(turn)}};
}

auto TextOf(const net::http_response& response) -> std::string {
  const auto body = json::parse(response.body);
  return std::string(
      body.at_pointer("/choices/0/message/content").get_string());
}

auto StreamedText(const net::http_response& response) -> std::string {
  auto parser = net::sse_parser();
  auto text = std::string{};
  for (const auto& event : parser.Feed(response.body)) {
    if (event == "[DONE]") {
      continue;
    }
    const auto chunk = json::parse(event);
    const auto* content = chunk.get_object()
                              .at("choices")
                              .as_array()
                              .at(0)
                              .at("delta")
                              .get_object()
                              .if_contains("content");
    text += content == nullptr ? "" : std::string(content->get_string());
  }
  return text;
}

auto Object(std::string_view name, json::value value) -> json::object {
  auto to = json::object{};
  to[name] = std::move(value);
  return to;
}

auto Messages(json::value only) -> json::array {
  auto to = json::array{};
  to.push_back(std::move(only));
  return to;
}

auto OpenProgram(test_deployment& fixture, std::size_t node)
    -> asio::awaitable<std::string> {
  const auto body = Object("class", "vendor");
  auto request = Post("/v1/programs", body);
  const auto response = co_await fixture.Call(node, std::move(request));
  REQUIRE(response.status == 201);
  co_return std::string(response.Header("Daisywind-Program"));
}

}  // namespace

TEST_CASE("a chat call without a program is served by any node") {
  auto fixture = test_deployment(3);
  fixture.Run([&]() -> asio::awaitable<void> {
    co_await fixture.WaitReady();
    const auto messages = Messages(UserMessage("where is the corn?"));
    for (auto i = std::size_t{0}; i < 3; ++i) {
      auto request = Post("/v1/chat/completions", Chat(messages));
      const auto response = co_await fixture.Call(i, std::move(request));
      REQUIRE(response.status == 200);
      CHECK(TextOf(response) == standin::ExpectedAnswer("agent", messages));
    }
  });
}

TEST_CASE(
    "turns of a program sent through different nodes are served in order") {
  auto fixture = test_deployment(3);
  fixture.Run([&]() -> asio::awaitable<void> {
    co_await fixture.WaitReady();
    auto handle = co_await OpenProgram(fixture, 0);
    auto messages = json::array{};
    for (auto turn = 1; turn <= 4; ++turn) {
      messages.push_back(UserMessage("question " + std::to_string(turn)));
      auto request = Post("/v1/chat/completions", Chat(messages, turn == 2),
                          TurnHeaders(handle, turn));
      const auto response = co_await fixture.Call(
          static_cast<std::size_t>(turn % 3), std::move(request));
      REQUIRE(response.status == 200);
      const auto text = turn == 2 ? StreamedText(response) : TextOf(response);
      CHECK(text == standin::ExpectedAnswer("agent", messages));
      messages.push_back(AssistantMessage(text));
      handle = std::string(response.Header("Daisywind-Program"));
    }
  });
}

TEST_CASE(
    "a repeated service call with the same idempotency key runs only once") {
  auto fixture = test_deployment(3);
  fixture.Run([&]() -> asio::awaitable<void> {
    co_await fixture.WaitReady();
    const auto handle = co_await OpenProgram(fixture, 0);
    auto headers = TurnHeaders(handle, 1);
    headers.push_back({"Idempotency-Key", "payout-1"});
    const auto body = Object("amount", 7);
    auto first_answer = std::string{};
    for (auto i = std::size_t{0}; i < 3; ++i) {
      auto request = Post("/v1/services/cart/payouts", body, headers);
      const auto response = co_await fixture.Call(i, std::move(request));
      REQUIRE(response.status == 200);
      first_answer = first_answer.empty() ? response.body : first_answer;
      CHECK(response.body == first_answer);
    }
    auto query = net::http_request{"GET", "/standin/runs", {}, ""};
    const auto runs =
        co_await fixture.SendTo(fixture.service_port(), std::move(query));
    CHECK(json::parse(runs.body).at_pointer("/runs/payout-1") == 1);
  });
}

TEST_CASE("a turn with a different history is refused without being run") {
  auto fixture = test_deployment(3);
  fixture.Run([&]() -> asio::awaitable<void> {
    co_await fixture.WaitReady();
    const auto handle = co_await OpenProgram(fixture, 0);
    const auto first = Messages(UserMessage("one"));
    auto request =
        Post("/v1/chat/completions", Chat(first), TurnHeaders(handle, 1));
    const auto answer = co_await fixture.Call(0, std::move(request));
    REQUIRE(answer.status == 200);
    auto other = Messages(UserMessage("another"));
    other.push_back(AssistantMessage(TextOf(answer)));
    other.push_back(UserMessage("two"));
    auto second =
        Post("/v1/chat/completions", Chat(other), TurnHeaders(handle, 2));
    const auto refusal = co_await fixture.Call(1, std::move(second));
    CHECK(refusal.status == 409);
    CHECK(refusal.Header("Daisywind-Outcome") == "not_run");
    CHECK(json::parse(refusal.body).at("title") == "history_mismatch");
  });
}

TEST_CASE("a program continues after its owner is killed between two turns") {
  auto fixture = test_deployment(4);
  fixture.Run([&]() -> asio::awaitable<void> {
    co_await fixture.WaitReady();
    auto handle = co_await OpenProgram(fixture, 0);
    auto messages = Messages(UserMessage("one"));
    auto request =
        Post("/v1/chat/completions", Chat(messages), TurnHeaders(handle, 1));
    const auto first = co_await fixture.Call(0, std::move(request));
    REQUIRE(first.status == 200);
    handle = std::string(first.Header("Daisywind-Program"));
    messages.push_back(AssistantMessage(TextOf(first)));
    messages.push_back(UserMessage("two"));
    fixture.Kill(0);
    auto second = net::http_response{};
    do {
      auto again =
          Post("/v1/chat/completions", Chat(messages), TurnHeaders(handle, 2));
      second = co_await fixture.Call(1, std::move(again));
      co_await fixture.WaitPollInterval();
    } while (second.status == 503);
    REQUIRE(second.status == 200);
    CHECK(TextOf(second) == standin::ExpectedAnswer("agent", messages));
    CHECK(second.Header("Daisywind-Program") != handle);
  });
}

TEST_CASE("requests with an unknown key, path or malformed body are refused") {
  auto fixture = test_deployment(1);
  fixture.Run([&]() -> asio::awaitable<void> {
    co_await fixture.WaitReady();
    auto no_key = Post("/v1/chat/completions", json::object{});
    no_key.headers.clear();
    no_key.headers.push_back({"Authorization", "Bearer nobody"});
    const auto unknown = co_await fixture.Call(0, std::move(no_key));
    CHECK(unknown.status == 401);
    auto broken = Post("/v1/chat/completions", json::array{});
    const auto refused = co_await fixture.Call(0, std::move(broken));
    CHECK(refused.status == 400);
    CHECK(refused.Header("Daisywind-Outcome") == "not_run");
    auto elsewhere = Post("/v1/nowhere", json::object{});
    const auto missing = co_await fixture.Call(0, std::move(elsewhere));
    CHECK(missing.status == 404);
  });
}

}  // namespace daisywind::gateway
