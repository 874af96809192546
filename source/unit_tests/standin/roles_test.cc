#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <memory>
#include <string>

#include "net/http_client.h"
#include "net/sse.h"
#include "standin/answer.h"
#include "standin/json_body.h"
#include "standin/stand_in.h"

namespace daisywind::standin {
namespace {

namespace asio = boost::asio;
using net::http_outcome;

auto FastOptions() -> stand_in_options {
  auto options = stand_in_options{};
  options.models = {{"agent", "1"}};
  options.prefill_per_token = 1us;
  options.decode_per_token = 1ms;
  options.run_time = 1ms;
  options.pull_time = 1ms;
  options.events_lag = 0us;
  options.list_lag = 0us;
  return options;
}

// A stand-in of one role and a client, on one context.
struct fixture {
  explicit fixture(const std::string& role_name,
                   const stand_in_options& options = FastOptions())
      : server(context, role_name, MakeRole(role_name, context, options)),
        port(server.Listen({"127.0.0.1", 0})),
        client(context) {}

  auto Send(net::http_request request) -> net::http_result {
    auto result = net::http_result{};
    // Over a pooled connection the client would retry a lost request.
    auto send_options = net::http_options{};
    send_options.connection = net::connection_use::kNew;
    Run([&]() -> asio::awaitable<void> {
      result = co_await client.Send(Address(), request, send_options);
    }());
    return result;
  }

  auto Post(const std::string& path, const std::string& body)
      -> net::http_result {
    return Send({"POST", path, {{"Idempotency-Key", "key-1"}}, body});
  }

  auto Get(const std::string& path) -> json::object {
    const auto result = Send({"GET", path, {}, ""});
    return ParseObject(result.response.body).value_or(json::object{});
  }

  auto SetFault(const std::string& kind) -> void {
    Post("/standin/faults", R"({"kind":")" + kind + R"("})");
  }

  auto Run(asio::awaitable<void> work) -> void {
    asio::co_spawn(context, std::move(work),
                   [&](const std::exception_ptr& error) {
                     context.stop();
                     if (error) {
                       std::rethrow_exception(error);
                     }
                   });
    context.run();
    context.restart();
  }

  [[nodiscard]] auto Address() const -> net::socket_address {
    return {"127.0.0.1", port};
  }

  asio::io_context context;
  stand_in server;
  std::uint16_t port;
  net::http_client client;
};

auto Messages() -> json::array {
  const auto message = json::object{
      {"role", "user"}, {"content", std::string(200, 'q') + " which route?"}};
  return json::array{json::value(message)};
}

auto ChatBody(bool is_stream) -> std::string {
  return json::serialize(json::object{{"model", "agent"},
                                      {"messages", Messages()},
                                      {"stream", is_stream},
                                      {"max_tokens", 12}});
}

// The answer text in the events of a stream, which may be incomplete.
auto StreamText(const std::string& body) -> std::string {
  auto parser = net::sse_parser{};
  auto text = std::string{};
  for (const auto& data : parser.Feed(body)) {
    const auto event = ParseObject(data);
    const auto* choices = event ? ArrayOrNull(*event, "choices") : nullptr;
    if (choices != nullptr && !choices->empty()) {
      const auto& choice = choices->front().as_object();
      text += StringOr(*ObjectOrNull(choice, "delta"), "content", "");
    }
  }
  return text;
}

// An exchange whose client takes 50 ms to receive each chunk.
class slow_exchange : public net::http_exchange {
 public:
  slow_exchange(asio::io_context& context, net::http_request request)
      : context_(context), request_(std::move(request)) {}

  [[nodiscard]] auto request() const -> const net::http_request& override {
    return request_;
  }

  auto Respond(net::http_response response) -> asio::awaitable<bool> override {
    co_return co_await WriteChunk(response.body);
  }

  auto StartStream(net::http_response /*head*/)
      -> asio::awaitable<bool> override {
    co_return true;
  }

  auto WriteChunk(std::string_view bytes) -> asio::awaitable<bool> override {
    body_ += bytes;
    auto timer = asio::steady_timer(context_, 50ms);
    co_await timer.async_wait(asio::use_awaitable);
    co_return true;
  }

  auto EndStream() -> asio::awaitable<bool> override { co_return true; }
  auto StartStreamWithFirstChunk(net::http_response /*head*/) -> void override {
  }
  auto OnClose(std::function<void()> /*handler*/) -> void override {}
  auto Abort() -> void override {}
  auto WaitForClose() -> asio::awaitable<void> override { co_return; }
  auto IsClosed() -> bool override { return false; }

  [[nodiscard]] auto body() const -> const std::string& { return body_; }

 private:
  asio::io_context& context_;
  net::http_request request_;
  std::string body_;
};

}  // namespace

TEST_CASE("a stream ends when its run finishes during a write") {
  auto context = asio::io_context();
  const auto engine = MakeRole("engine", context, FastOptions());
  auto exchange = slow_exchange(
      context, {"POST", "/v1/chat/completions", {}, ChatBody(true)});
  auto is_ended = false;
  asio::co_spawn(context, engine->Handle(exchange),
                 [&](const std::exception_ptr&) {
                   is_ended = true;
                   context.stop();
                 });
  // Limits the test when the stream does not end.
  context.run_for(10s);
  CHECK(is_ended);
  CHECK(StreamText(exchange.body()) == ExpectedAnswer("agent", Messages(), 12));
}

TEST_CASE("a non-streaming chat answer is determined by the request") {
  auto engine = fixture("engine");
  const auto result = engine.Post("/v1/chat/completions", ChatBody(false));
  REQUIRE(result.response.status == 200);
  const auto body = ParseObject(result.response.body);
  const auto& choice = body->at("choices").as_array().front().as_object();
  CHECK(StringOr(*ObjectOrNull(choice, "message"), "content", "") ==
        ExpectedAnswer("agent", Messages(), 12));
  CHECK(IntegerOr(*ObjectOrNull(*body, "usage"), "prompt_tokens", 0) == 54);
}

TEST_CASE("an interrupted stream resumes at an offset") {
  auto engine = fixture("engine");
  const auto fault = R"({"kind":"cut_stream","after_bytes":300})";
  engine.Post("/standin/faults", fault);
  const auto headers = net::http_headers{{"X-Request-Id", "r1"}};
  const auto cut =
      engine.Send({"POST", "/v1/chat/completions", headers, ChatBody(true)});
  CHECK(cut.outcome == http_outcome::kNoAnswer);
  const auto first = StreamText(cut.response.body);
  CHECK(first.find(' ') == std::string::npos);
  const auto rest = engine.Send({"GET", "/v1/streams/r1?offset=1", {}, ""});
  CHECK(first + StreamText(rest.response.body) ==
        ExpectedAnswer("agent", Messages(), 12));
  CHECK(engine.Send({"GET", "/v1/streams/r2", {}, ""}).response.status == 404);
}

TEST_CASE("a cancelled request can't be resumed") {
  auto engine = fixture("engine");
  engine.SetFault("cut_stream");
  const auto headers = net::http_headers{{"X-Request-Id", "r1"}};
  engine.Send({"POST", "/v1/chat/completions", headers, ChatBody(true)});
  engine.Send({"DELETE", "/v1/streams/r1", {}, ""});
  CHECK(engine.Send({"GET", "/v1/streams/r1", {}, ""}).response.status == 404);
}

TEST_CASE("orders load models, drain an engine and empty it") {
  auto store = fixture("weights");
  auto engine = fixture("engine");
  const auto load =
      R"({"fence":2,"version":7,"wanted":{"models":{"other":"1"}}})";
  CHECK(engine.Post("/v1/orders", load).response.status == 202);
  CHECK(engine.Post("/v1/chat/completions", ChatBody(false)).response.status ==
        404);
  CHECK(ObjectOrNull(engine.Get("/v1/state"), "models")->contains("other"));
  const auto drain =
      R"({"fence":2,"wanted":{"models":{"agent":"1"},"role":"draining"}})";
  engine.Post("/v1/orders", drain);
  const auto refused = engine.Post("/v1/chat/completions", ChatBody(false));
  CHECK(refused.response.status == 503);
  CHECK(refused.response.Header("X-Refused") == "leaving");
  const auto empty = R"({"fence":2,"wanted":{"role":"empty"}})";
  engine.Post("/v1/orders", empty);
  CHECK(ObjectOrNull(engine.Get("/v1/state"), "models")->empty());
}

TEST_CASE("engines that check fencing reject a stale fencing number") {
  for (const auto checks_fencing : {true, false}) {
    auto options = FastOptions();
    options.checks_fencing = checks_fencing;
    auto engine = fixture("engine", options);
    engine.Post("/v1/orders", R"({"fence":2,"wanted":{"models":{}}})");
    const auto old =
        engine.Post("/v1/orders", R"({"fence":1,"wanted":{"models":{}}})");
    CHECK(old.response.status == (checks_fencing ? 409 : 202));
  }
}

TEST_CASE("cache events carry block hashes and have gaps") {
  auto options = FastOptions();
  options.event_gap_every = 2;
  auto engine = fixture("engine", options);
  engine.Post("/v1/chat/completions", ChatBody(false));
  const auto body = engine.Get("/v1/cache_events?since=0");
  const auto& events = *ArrayOrNull(body, "events");
  REQUIRE(events.size() == 1);
  CHECK(StringsOf(events.front().as_object(), "blocks") ==
        HashBlocks(PromptText(Messages())));
  CHECK(IntegerOr(body, "next", 0) == 3);
}

TEST_CASE("a program's blocks are pinned until its session is released") {
  auto engine = fixture("engine");
  engine.Post("/v1/chat/completions", ChatBody(false));
  const auto blocks = ToArray(HashBlocks(PromptText(Messages())));
  const auto pin = json::object{{"blocks", blocks}, {"fence", 1}};
  engine.Post("/v1/cache/sessions/p1", json::serialize(pin));
  const auto sessions = engine.Get("/v1/cache/sessions");
  CHECK(IntegerOr(*ObjectOrNull(sessions, "sessions"), "p1", 0) == 48);
  engine.Send({"DELETE", "/v1/cache/sessions/p1", {}, ""});
  CHECK(ObjectOrNull(engine.Get("/v1/cache/sessions"), "sessions")->empty());
}

TEST_CASE("a service counts runs whose answers a fault suppresses") {
  auto service = fixture("service");
  const auto runs = [&] {
    const auto body = service.Get("/standin/runs");
    return IntegerOr(*ObjectOrNull(body, "runs"), "key-1", 0);
  };
  service.SetFault("refuse");
  CHECK(service.Post("/payout", "{}").response.status == 503);
  CHECK(runs() == 0);
  service.SetFault("lose_answer");
  CHECK(service.Post("/payout", "{}").outcome == http_outcome::kNoAnswer);
  CHECK(runs() == 1);
  service.SetFault("cut_stream");
  CHECK(service.Post("/payout", "{}").outcome == http_outcome::kNoAnswer);
  CHECK(runs() == 2);
  const auto answered = service.Post("/payout", "{}");
  CHECK(answered.response.body == ExpectedServiceAnswer("/payout", "{}"));
  CHECK(runs() == 3);
}

TEST_CASE("a fault applies only to matching requests") {
  auto service = fixture("service");
  const auto fault =
      R"({"kind":"refuse","count":-1,"path":"/pay","body_contains":"poison"})";
  service.Post("/standin/faults", fault);
  CHECK(service.Post("/pay", "poison").response.status == 503);
  CHECK(service.Post("/pay", "poison").response.status == 503);
  CHECK(service.Post("/pay", "{}").response.status == 200);
  CHECK(service.Post("/order", "poison").response.status == 200);
  service.Send({"DELETE", "/standin/faults", {}, ""});
  CHECK(service.Post("/pay", "poison").response.status == 200);
}

TEST_CASE("a service with lookup returns the answer of a run") {
  auto options = FastOptions();
  options.has_lookup = true;
  auto service = fixture("service", options);
  CHECK(service.Send({"GET", "/v1/runs/key-1", {}, ""}).response.status == 404);
  service.SetFault("lose_answer");
  service.Post("/payout", "{}");
  const auto found = service.Send({"GET", "/v1/runs/key-1", {}, ""});
  CHECK(found.response.body == ExpectedServiceAnswer("/payout", "{}"));
}

TEST_CASE("a watch sends earlier and later events") {
  auto store = fixture("kv");
  const auto put = R"({"key":"YQ==","value":"MQ=="})";
  store.Post("/v3/kv/put", put);
  auto lines = std::string{};
  store.Run([&]() -> asio::awaitable<void> {
    const auto watch = net::http_request{
        "POST",
        "/v3/watch",
        {},
        R"({"create_request":{"key":"YQ==","start_revision":"2"}})"};
    auto opened = co_await store.client.Open(store.Address(), watch, {});
    while (lines.find("\"mod_revision\":\"2\"") == std::string::npos) {
      lines += (co_await opened.body->Next()).value();
    }
    const auto again = net::http_request{"POST", "/v3/kv/put", {}, put};
    co_await store.client.Send(store.Address(), again, {});
    while (lines.find("\"mod_revision\":\"3\"") == std::string::npos) {
      lines += (co_await opened.body->Next()).value();
    }
  }());
  CHECK(lines.starts_with(R"({"result":{"header":)"));
  const auto counts = store.Get("/standin/counts");
  CHECK(IntegerOr(*ObjectOrNull(counts, "counts"), "put", 0) == 2);
}

TEST_CASE("the weight store rejects pulls over its concurrency limit") {
  auto options = FastOptions();
  options.max_pulls = 0;
  auto store = fixture("weights", options);
  const auto refused = store.Post("/v1/pull", R"({"name":"agent"})");
  CHECK(refused.response.status == 429);
  CHECK(refused.response.Header("Retry-After") == "1");
}

TEST_CASE("the VM list returns the list that was set") {
  auto list = fixture("vms");
  const auto body = R"({"vms":[{"id":"agent-1","state":"live"}]})";
  list.Send({"PUT", "/standin/vms", {}, body});
  CHECK(list.Send({"GET", "/v1/vms", {}, ""}).response.body == body);
  CHECK(list.Send({"PUT", "/standin/vms", {}, "{}"}).response.status == 400);
}

}  // namespace daisywind::standin
