// Organisations and their API keys, and what a front without proof of its
// configuration does.
#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <boost/asio.hpp>
#include <chrono>
#include <cstdlib>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/logging.h"
#include "common/process_clock.h"
#include "front_harness.h"
#include "memory_journals.h"

namespace daisywind::front {
namespace {

namespace asio = boost::asio;

constexpr auto kSecretKey = "secret-key-of-o";
constexpr auto kOrganisations =
    "1 keys o secret-key-of-o 0 0 -1 p key-of-p 0 0 3";
// Never over in a test.
constexpr auto kLong = std::chrono::milliseconds(600'000);
// Over after a wait; short, because tests wait for it.
constexpr auto kShort = std::chrono::milliseconds(2500);

auto Harness(std::chrono::milliseconds keys_withdrawn = {})
    -> std::unique_ptr<front_harness> {
  return std::make_unique<front_harness>(
      32, std::make_shared<asio::io_context>(1), std::chrono::seconds(8),
      keys_withdrawn);
}

auto ResponseTo(net::http_exchange& exchange, unsigned status)
    -> net::http_response {
  return {status, {{"Id", std::string(exchange.request().Header("Id"))}}, ""};
}

// That of an endpoint which has not run the request.
auto NotRunResponse(net::http_exchange& exchange) -> net::http_response {
  auto response = ResponseTo(exchange, 503);
  response.headers.push_back({"Not-Run", "1"});
  return response;
}

// Responds to each request, as a stream if it is one, and keeps their headers.
auto RecordingEndpoint(std::vector<net::http_request>& requests)
    -> endpoint_handler {
  return [&requests](net::http_exchange& exchange) -> asio::awaitable<void> {
    const auto& request = exchange.request();
    requests.push_back(request);
    auto response = ResponseTo(exchange, 200);
    if (request.Path().starts_with("/kept") ||
        request.Path().starts_with("/stream")) {
      co_await exchange.StartStream(std::move(response));
      co_await exchange.WriteChunk("id: 1\ndata: t\n\n");
      co_await exchange.EndStream();
    } else {
      co_await exchange.Respond(std::move(response));
    }
  };
}

auto Key(const char* key) -> net::http_headers {
  return {{"Key", key}};
}

auto TurnOf(const char* key,
            const std::string& program,
            const std::string& previous = "",
            int budget = 1000) -> net::http_headers {
  auto headers = net::http_headers{{"Program", program},
                                   {"Budget", std::to_string(budget)},
                                   {"Max-Tokens", "8"}};
  if (*key != '\0') {
    headers.push_back({"Key", key});
  }
  if (!previous.empty()) {
    headers.push_back({"Previous", previous});
  }
  return headers;
}

// Guards against callers that are served without a valid key.
TEST_CASE("nothing is sent to an endpoint without a known key") {
  auto harness = Harness();
  auto requests = std::vector<net::http_request>{};
  harness->AddEndpoint("a", RecordingEndpoint(requests));
  harness->Configure(kOrganisations);
  for (const auto* kind : {"once", "again", "stream", "kept"}) {
    CAPTURE(kind);
    const auto without = harness->Send(kind, "r1");
    CHECK(without.response.body == "unknown_key");
    CHECK(without.response.Header("Retry-Ms").empty());
    CHECK(harness->Send(kind, "r2", Key("other")).response.body ==
          "unknown_key");
  }
  CHECK(requests.empty());
  CHECK(harness->Send("once", "r3", Key(kSecretKey)).response.status == 200);
  REQUIRE(requests.size() == 1);
  CHECK(requests[0].Header("Organisation") == "o");
  CHECK(requests[0].Header("Key").empty());
}

TEST_CASE("a public route needs no key") {
  auto harness = Harness();
  auto requests = std::vector<net::http_request>{};
  harness->AddEndpoint("a", RecordingEndpoint(requests));
  harness->Configure(kOrganisations);
  CHECK(harness->Send("open", "r1").response.status == 200);
  CHECK(harness->Send("open", "r2", Key("other")).response.status == 200);
  CHECK(harness->Send("open", "r3", Key("key-of-p")).response.status == 200);
  REQUIRE(requests.size() == 3);
  CHECK(requests[0].Header("Organisation").empty());
  CHECK(requests[1].Header("Organisation").empty());
  CHECK(requests[2].Header("Organisation") == "p");
}

TEST_CASE("an organisation's priority replaces that of the route") {
  auto harness = Harness();
  auto requests = std::vector<net::http_request>{};
  harness->AddEndpoint("a", RecordingEndpoint(requests));
  harness->Configure(kOrganisations);
  harness->Send("once", "r1", Key(kSecretKey));
  harness->Send("once", "r2", Key("key-of-p"));
  REQUIRE(requests.size() == 2);
  CHECK(requests[0].Header("Urgency") == "0");
  CHECK(requests[1].Header("Urgency") == "3");
}

// Guards against changes for deployments without organisations.
TEST_CASE("keys mean nothing without organisations") {
  auto harness = Harness(kLong);
  auto requests = std::vector<net::http_request>{};
  harness->AddEndpoint("a", RecordingEndpoint(requests));
  harness->Configure();
  CHECK(harness->Send("once", "r1").response.status == 200);
  CHECK(harness->Send("once", "r2", Key("any")).response.status == 200);
  harness->store.SetDown(true);
  CHECK(harness->Send("once", "r3").response.status == 200);
  CHECK(requests.size() == 3);
}

TEST_CASE("a withdrawn key is refused as soon as that is known") {
  auto harness = Harness(kLong);
  auto requests = std::vector<net::http_request>{};
  harness->AddEndpoint("a", RecordingEndpoint(requests));
  harness->Configure(kOrganisations);
  CHECK(harness->Send("once", "r1", Key("key-of-p")).response.status == 200);
  harness->Configure("2 keys o secret-key-of-o 0 0 -1");
  CHECK(harness->Send("once", "r2", Key("key-of-p")).response.body ==
        "unknown_key");
  CHECK(requests.size() == 1);
}

// Guards against a withdrawn key that a front without the store goes on
// serving.
TEST_CASE("a front whose proof is too old serves no key") {
  auto harness = Harness(kShort);
  auto requests = std::vector<net::http_request>{};
  harness->AddEndpoint("a", RecordingEndpoint(requests));
  harness->Configure(kOrganisations);
  REQUIRE(
      harness->RunUntil([&] { return harness->node().AreKeysProven(Now()); }));
  harness->store.SetDown(true);
  REQUIRE(
      harness->RunUntil([&] { return !harness->node().AreKeysProven(Now()); }));
  for (const auto* key : {kSecretKey, "other"}) {
    const auto refused = harness->Send("once", "r1", Key(key));
    CHECK(refused.response.body == "keys_outdated");
    CHECK_FALSE(refused.response.Header("Retry-Ms").empty());
  }
  CHECK(requests.empty());
  CHECK(harness->Send("open", "r2").response.status == 200);
  REQUIRE(harness->RunUntil([&] { return !harness->IsReady(); }));
  harness->store.SetDown(false);
  REQUIRE(
      harness->RunUntil([&] { return harness->node().AreKeysProven(Now()); }));
  REQUIRE(harness->RunUntil([&] { return harness->IsReady(); }));
}

// Guards against a request that waits for longer than a withdrawn key may be
// served. Its first endpoint answers that it has not run it once the proof is
// too old.
TEST_CASE("the proof is checked again before each attempt") {
  auto harness = Harness(kShort);
  auto attempts = 0;
  const auto handler =
      [&](net::http_exchange& exchange) -> asio::awaitable<void> {
    ++attempts;
    harness->store.SetDown(true);
    auto timer = asio::steady_timer(harness->context);
    while (harness->node().AreKeysProven(Now())) {
      timer.expires_after(std::chrono::milliseconds(5));
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_await exchange.Respond(NotRunResponse(exchange));
  };
  harness->AddEndpoint("a", handler);
  harness->AddEndpoint("b", handler);
  harness->Configure(kOrganisations);
  REQUIRE(
      harness->RunUntil([&] { return harness->node().AreKeysProven(Now()); }));
  const auto result = harness->Send("slow", "r", Key(kSecretKey));
  CHECK(result.response.body == "keys_outdated");
  CHECK(attempts == 1);
}

// A request that waits while its key is withdrawn.
TEST_CASE("the key is checked again before each attempt") {
  auto harness = Harness(kLong);
  auto attempts = 0;
  const auto handler =
      [&](net::http_exchange& exchange) -> asio::awaitable<void> {
    ++attempts;
    harness->store.Put("configuration", "2 keys p key-of-p 0 0 3");
    auto timer = asio::steady_timer(harness->context);
    while (harness->node().service_directory().routes().version() == 1) {
      timer.expires_after(std::chrono::milliseconds(5));
      co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_await exchange.Respond(NotRunResponse(exchange));
  };
  harness->AddEndpoint("a", handler);
  harness->AddEndpoint("b", handler);
  harness->Configure(kOrganisations);
  const auto result = harness->Send("slow", "r", Key(kSecretKey));
  CHECK(result.response.body == "unknown_key");
  CHECK(attempts == 1);
}

// Guards against keys that the newest configuration may have withdrawn.
TEST_CASE("a configuration that can't be read makes keys unproven") {
  auto harness = Harness(kLong);
  auto requests = std::vector<net::http_request>{};
  harness->AddEndpoint("a", RecordingEndpoint(requests));
  harness->Configure(kOrganisations);
  CHECK(harness->Send("once", "r1", Key(kSecretKey)).response.status == 200);
  harness->store.Put("configuration", "unreadable");
  REQUIRE(
      harness->RunUntil([&] { return !harness->node().AreKeysProven(Now()); }));
  CHECK(harness->Send("once", "r2", Key(kSecretKey)).response.body ==
        "keys_outdated");
  harness->Configure("3 keys o secret-key-of-o 0 0 -1");
  CHECK(harness->Send("once", "r3", Key(kSecretKey)).response.status == 200);
}

// Guards against organisations that read each other's conversations.
TEST_CASE("a turn of another organisation is unknown") {
  auto harness = Harness();
  auto requests = std::vector<net::http_request>{};
  harness->AddEndpoint("a", RecordingEndpoint(requests));
  harness->Configure(kOrganisations);
  auto journals = memory_journals(*harness);
  CHECK(harness->Send("kept", "t1", TurnOf(kSecretKey, "x")).response.status ==
        200);
  journals.WaitUntilSettled("t1");
  CHECK(journals.FindFact("t1")->content->organisation.value == "o");
  for (const auto* program : {"x", "y"}) {
    const auto other =
        harness->Send("kept", "t2", TurnOf("key-of-p", program, "t1"));
    CHECK(other.response.body == "unknown_turn");
  }
  CHECK(requests.size() == 1);
  CHECK(harness->Send("kept", "t3", TurnOf(kSecretKey, "x", "t1"))
            .response.status == 200);
  CHECK(requests.size() == 2);
}

// Turns that were stored before there were organisations.
TEST_CASE("a turn without an organisation may be continued by any") {
  auto harness = Harness();
  auto requests = std::vector<net::http_request>{};
  harness->AddEndpoint("a", RecordingEndpoint(requests));
  harness->Configure();
  auto journals = memory_journals(*harness);
  CHECK(harness->Send("kept", "t1", TurnOf("", "x")).response.status == 200);
  journals.WaitUntilSettled("t1");
  CHECK(journals.FindFact("t1")->content->organisation.empty());
  harness->Configure("2 keys o secret-key-of-o 0 0 -1 p key-of-p 0 0 3");
  CHECK(harness->Send("kept", "t2", TurnOf("key-of-p", "x", "t1"))
            .response.status == 200);
  CHECK(requests.size() == 2);
}

// Guards against organisations that spend each other's budgets by the choice of
// a program's name.
TEST_CASE("programs of different organisations have budgets of their own") {
  auto harness = Harness();
  auto requests = std::vector<net::http_request>{};
  harness->AddEndpoint("a", RecordingEndpoint(requests));
  harness->Configure(
      "1 keys o k1 0 0 -1 p k2 0 0 -1 o/x k3 0 0 -1 o|x k4 0 0 -1");
  auto journals = memory_journals(*harness);
  struct turn_case {
    const char* key;
    const char* program;
  };
  auto number = 0;
  for (const auto& turn :
       {turn_case{"k1", "y"}, turn_case{"k2", "y"}, turn_case{"k1", "x/y"},
        turn_case{"k3", "y"}, turn_case{"k1", "x|y"}, turn_case{"k4", "y"}}) {
    CAPTURE(turn.key);
    CAPTURE(turn.program);
    const auto id = "t" + std::to_string(number++);
    const auto result = harness->Send(
        "stream", id, TurnOf(turn.key, turn.program, "", /*budget=*/8));
    CHECK(result.response.status == 200);
    journals.WaitUntilSettled(id);
  }
}

// Guards against requests without a program that count as those of one, which
// would lower the number of programs that are let in.
TEST_CASE("a key's requests without a program are none of a program") {
  auto harness = Harness();
  auto requests = std::vector<net::http_request>{};
  harness->AddEndpoint("a", RecordingEndpoint(requests));
  harness->Configure(kOrganisations);
  for (auto i = 0; i < 20; ++i) {
    harness->Send("stream", "r" + std::to_string(i), Key(kSecretKey));
  }
  CHECK(requests.size() == 20);
  CHECK(harness->node().programs().RequestsPerProgram() == 1.0);
}

// Redirects standard error to a file during its lifetime.
class captured_errors {
 public:
  captured_errors()
      : before_(::dup(STDERR_FILENO)),
        file_(::open("/tmp", O_TMPFILE | O_RDWR | O_CLOEXEC, 0600)) {
    REQUIRE(file_ >= 0);
    ::dup2(file_, STDERR_FILENO);
  }
  captured_errors(const captured_errors&) = delete;
  auto operator=(const captured_errors&) -> captured_errors& = delete;
  ~captured_errors() {
    ::dup2(before_, STDERR_FILENO);
    ::close(before_);
    ::close(file_);
  }

  [[nodiscard]] auto Read() const -> std::string {
    auto text = std::string(
        static_cast<std::size_t>(::lseek(file_, 0, SEEK_END)), '\0');
    const auto size = ::pread(file_, text.data(), text.size(), 0);
    text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
    return text;
  }

 private:
  int before_;
  int file_;
};

// Guards against secrets in logs.
TEST_CASE("no log line has a key") {
  const auto errors = captured_errors();
  StartLogging(log_format::kJson, log_level::kDebug);
  {
    auto harness = Harness(kLong);
    auto requests = std::vector<net::http_request>{};
    harness->AddEndpoint("a", RecordingEndpoint(requests));
    harness->AddUnreachableEndpoint("b");
    harness->Configure(
        "1 keys o secret-key-of-o 0 0 -1 q secret-key-of-q 1 1 -1");
    auto journals = memory_journals(*harness);
    for (const auto* kind : {"once", "again", "stream", "kept", "none"}) {
      harness->Send(kind, "r1", Key(kSecretKey));
      harness->Send(kind, "r2", Key("secret-key-unknown"));
      harness->Send(kind, "r3", Key("secret-key-of-q"));
    }
    harness->Send("kept", "t1", TurnOf(kSecretKey, "x"));
  }
  StartLogging(log_format::kJson, log_level::kError);
  const auto text = errors.Read();
  // The requests have been logged.
  CHECK(text.find("quota_unknown") != std::string::npos);
  CHECK(text.find("unknown_key") != std::string::npos);
  CHECK(text.find("secret-key") == std::string::npos);
}

}  // namespace
}  // namespace daisywind::front
