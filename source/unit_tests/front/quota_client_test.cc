// Requests of organisations with limits, which need credits of the journals.
#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "front_harness.h"
#include "memory_journals.h"

namespace daisywind::front {
namespace {

namespace asio = boost::asio;

constexpr auto kLimited = "7 keys o k 50 20 -1";

auto Key() -> net::http_headers {
  return {{"Key", "k"}};
}

auto ResponseTo(net::http_exchange& exchange) -> net::http_response {
  return {200, {{"Id", std::string(exchange.request().Header("Id"))}}, ""};
}

// Grants a number of requests for each demand, or says when there are some.
auto Grants(const history::quota_request& request,
            std::uint32_t granted,
            duration retry_after = {}) -> history::message_body {
  auto reply = history::quota_reply{};
  for (const auto& demand : request.demands) {
    reply.grants.push_back({demand.organisation,
                            std::min(granted, demand.wanted),
                            granted == 0 ? retry_after : duration(0)});
  }
  return reply;
}

struct fixture {
  fixture() {
    harness.AddEndpoint(
        "a", [this](net::http_exchange& exchange) -> asio::awaitable<void> {
          ++runs;
          auto response = ResponseTo(exchange);
          co_await exchange.Respond(std::move(response));
        });
    harness.Configure(kLimited);
    journals = std::make_unique<memory_journals>(harness);
  }

  // Sums what requests name, for the test's organisation.
  auto Count(const history::quota_request& request) -> void {
    ++messages;
    for (const auto& demand : request.demands) {
      CHECK(demand.organisation.value == "o");
      CHECK(demand.limit == history::request_limit{7, 50, 20});
      wanted += demand.wanted;
      returned += demand.returned;
    }
  }

  auto GrantAll() -> void {
    journals->on_quota = [this](std::size_t,
                                const history::quota_request& request,
                                history::view_number) {
      Count(request);
      return std::optional(Grants(request, 1000));
    };
  }

  front_harness harness;
  std::unique_ptr<memory_journals> journals;
  int runs = 0;
  int messages = 0;
  std::uint32_t wanted = 0;
  std::uint32_t returned = 0;
};

TEST_CASE_FIXTURE(fixture, "a request runs with a credit of a journal") {
  GrantAll();
  CHECK(harness.Send("once", "r1", Key()).response.status == 200);
  CHECK(runs == 1);
  CHECK(messages == 1);
  CHECK(wanted == 1);
}

TEST_CASE("organisations without a limit need no credit") {
  auto harness = front_harness();
  auto runs = 0;
  harness.AddEndpoint(
      "a", [&](net::http_exchange& exchange) -> asio::awaitable<void> {
        ++runs;
        auto response = ResponseTo(exchange);
        co_await exchange.Respond(std::move(response));
      });
  harness.Configure("1 keys o k 0 50 -1");
  CHECK(harness.Send("once", "r1", Key()).response.status == 200);
  CHECK(runs == 1);
}

// Guards against requests beyond the limit that run, and against refusals that
// cost a message each.
TEST_CASE_FIXTURE(fixture,
                  "a used-up limit is refused with the time it takes") {
  journals->on_quota = [&](std::size_t member,
                           const history::quota_request& request,
                           history::view_number) {
    Count(request);
    return std::optional(Grants(request, 0, std::chrono::seconds(60 + member)));
  };
  for (auto i = 0; i < 20; ++i) {
    const auto refused =
        harness.Send("once", "r" + std::to_string(i), Key()).response;
    CHECK(refused.body == "quota_exceeded");
    const auto retry_ms =
        std::atoi(std::string(refused.Header("Retry-Ms")).c_str());
    CHECK(retry_ms > 20'000);
    // Up to half of the earliest member's time is added at random.
    CHECK(retry_ms <= 90'000);
  }
  CHECK(runs == 0);
  CHECK(messages == memory_journals::kMembers);
}

// Guards against requests that run without a credit.
TEST_CASE_FIXTURE(fixture, "a request is refused if no journal replies") {
  journals->on_quota = [&](std::size_t, const history::quota_request& request,
                           history::view_number) {
    Count(request);
    return std::optional<history::message_body>{};
  };
  const auto refused = harness.Send("once", "r1", Key()).response;
  CHECK(refused.body == "quota_unknown");
  CHECK(refused.Header("Retry-Ms") == "300");
  CHECK(runs == 0);
  CHECK(messages == memory_journals::kMembers);
}

TEST_CASE("a request is refused if there are no journals") {
  auto harness = front_harness();
  harness.Configure(kLimited);
  const auto refused = harness.Send("once", "r1", Key()).response;
  CHECK(refused.body == "quota_unknown");
}

TEST_CASE_FIXTURE(fixture, "others are asked if the nearest has none") {
  auto first = std::optional<std::size_t>{};
  journals->on_quota = [&](std::size_t member,
                           const history::quota_request& request,
                           history::view_number) {
    Count(request);
    first = first.value_or(member);
    return std::optional(Grants(request, member == *first ? 0 : 1000, 60s));
  };
  CHECK(harness.Send("once", "r1", Key()).response.status == 200);
  CHECK(messages == 2);
  CHECK(runs == 1);
}

// Guards against requests that wait for a journal that is paused.
TEST_CASE_FIXTURE(fixture, "another is asked if one does not reply") {
  auto first = std::optional<std::size_t>{};
  journals->on_quota =
      [&](std::size_t member, const history::quota_request& request,
          history::view_number) -> std::optional<history::message_body> {
    Count(request);
    first = first.value_or(member);
    if (member == *first) {
      return std::nullopt;
    }
    return Grants(request, 1000);
  };
  CHECK(harness.Send("once", "r1", Key()).response.status == 200);
  CHECK(runs == 1);
}

// Regression: the handler of the timer, which was queued when the reply came,
// looked up the request that the reply had ended, and the process ended.
TEST_CASE_FIXTURE(fixture, "a reply may come as its journal turns out slow") {
  journals->on_quota = [&](std::size_t, const history::quota_request& request,
                           history::view_number) {
    Count(request);
    return std::optional(Grants(request, 1));
  };
  // Nothing runs meanwhile, so that the reply and the timer are due together.
  journals->after_quota = [] {
    std::this_thread::sleep_for(std::chrono::milliseconds(120));
  };
  for (auto i = 0; i < 5; ++i) {
    CHECK(
        harness.Send("once", "r" + std::to_string(i), Key()).response.status ==
        200);
  }
  CHECK(runs == 5);
}

// Guards against a view change that makes a front treat a sound journal as
// failed.
TEST_CASE_FIXTURE(fixture, "a journal of a newer view is asked again at once") {
  auto rejected = 0;
  auto newest = journals->View(2);
  journals->on_quota =
      [&](std::size_t member, const history::quota_request& request,
          history::view_number view) -> std::optional<history::message_body> {
    if (view < newest.number) {
      ++rejected;
      // It is the only member that is left.
      newest.members = {newest.members.at(member)};
      return history::stale_view{newest};
    }
    if (journals->View(view).members.at(member) != newest.members.front()) {
      return std::nullopt;
    }
    Count(request);
    return Grants(request, 1000);
  };
  CHECK(harness.Send("once", "r1", Key()).response.status == 200);
  CHECK(harness.node().turns().current().number == 2);
  CHECK(rejected == 1);
  CHECK(messages == 1);
  CHECK(runs == 1);
}

// Guards against a limit that attempts use up.
TEST_CASE("attempts of one request need one credit") {
  auto harness = front_harness();
  auto attempts = 0;
  const auto abort =
      [&](net::http_exchange& exchange) -> asio::awaitable<void> {
    ++attempts;
    exchange.Abort();
    co_return;
  };
  harness.AddEndpoint("a", abort);
  harness.AddEndpoint("b", abort);
  harness.Configure(kLimited);
  auto journals = memory_journals(harness);
  auto wanted = std::uint32_t{0};
  journals.on_quota = [&](std::size_t, const history::quota_request& request,
                          history::view_number) {
    wanted += request.demands.at(0).wanted;
    return std::optional(Grants(request, 1));
  };
  CHECK(harness.Send("again", "r1", Key()).response.status == 502);
  CHECK(attempts == 2);
  CHECK(wanted == 1);
}

// Guards against a limit that requests use up which never ran.
TEST_CASE("the credit of a request that is not sent is returned") {
  auto harness = front_harness();
  harness.Configure(kLimited);
  auto journals = memory_journals(harness);
  auto wanted = std::uint32_t{0};
  auto returned = std::uint32_t{0};
  journals.on_quota = [&](std::size_t, const history::quota_request& request,
                          history::view_number) {
    wanted += request.demands.at(0).wanted;
    returned += request.demands.at(0).returned;
    return std::optional(Grants(request, 1));
  };
  CHECK(harness.Send("once", "r1", Key()).response.body == "no_endpoint");
  CHECK(wanted == 1);
  REQUIRE(harness.RunUntil([&] { return returned == 1; }));
  CHECK(wanted == 1);
}

// A program that starts needs a credit of its organisation's programs as well.
TEST_CASE("a program that may not start is refused and others go on") {
  auto harness = front_harness();
  auto runs = 0;
  harness.AddEndpoint(
      "a", [&](net::http_exchange& exchange) -> asio::awaitable<void> {
        ++runs;
        auto response = ResponseTo(exchange);
        co_await exchange.StartStream(std::move(response));
        co_await exchange.EndStream();
      });
  harness.Configure(kLimited);
  auto journals = memory_journals(harness);
  auto programs_left = std::uint32_t{1};
  journals.on_quota = [&](std::size_t, const history::quota_request& request,
                          history::view_number) {
    auto reply = history::quota_reply{};
    for (const auto& demand : request.demands) {
      const auto is_of_programs = demand.organisation.value != "o";
      const auto granted =
          is_of_programs ? std::exchange(programs_left, 0U) : demand.wanted;
      reply.grants.push_back(
          {demand.organisation, granted, granted == 0 ? 60s : 0s});
    }
    return std::optional<history::message_body>(reply);
  };
  const auto send = [&](const char* id, const char* program) {
    auto headers = Key();
    headers.push_back({"Program", program});
    return harness.Send("stream", id, headers).response;
  };
  CHECK(send("r1", "p1").status == 200);
  CHECK(send("r2", "p2").body == "quota_exceeded");
  CHECK(send("r3", "p1").status == 200);
  CHECK(runs == 2);
}

}  // namespace
}  // namespace daisywind::front
