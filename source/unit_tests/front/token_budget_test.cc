// Budgets of programs whose turns the system stores, does not store, or both.
#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <memory>
#include <string>
#include <vector>

#include "front_harness.h"
#include "history/fact_replica.h"
#include "history_wire/codec.h"
#include "history_wire/view_json.h"
#include "net/frame_channel.h"

namespace daisywind::front {
namespace {

namespace asio = boost::asio;

// Without an engine profile each event counts as one token.
constexpr auto kEvents = 5;
constexpr auto kMaxTokens = 8;

// Journal members that keep facts in memory.
class memory_journals {
 public:
  static constexpr auto kMembers = 3;

  explicit memory_journals(front_harness& harness) : harness_(harness) {
    auto view = history::view{1, {}};
    for (auto i = 0; i < kMembers; ++i) {
      auto& item = *members_.emplace_back(std::make_unique<member>());
      item.replica.SetComplete(1);
      item.server = std::make_unique<net::channel_server>(
          harness.context, 16, net::channel_options{},
          [this, &item](const std::shared_ptr<net::frame_channel>& channel) {
            auto handlers = net::channel_handlers{};
            handlers.on_frame = [this, &item, weak = std::weak_ptr(channel)](
                                    std::string_view frame) {
              OnFrame(item, weak.lock(), frame);
            };
            return handlers;
          });
      const auto port = item.server->Listen({"127.0.0.1", 0});
      REQUIRE(port != 0);
      const auto name = std::to_string(i);
      view.members.push_back({vm_id("vm" + name), history::disk_id("d" + name),
                              "127.0.0.1:" + std::to_string(port),
                              failure_domain_id("d"), region_id("r")});
    }
    for (auto& item : members_) {
      item->replica.Adopt(view);
    }
    harness.store.Put(std::string(history::kViewKey),
                      history::RenderView(view));
    REQUIRE(harness.RunUntil(
        [&] { return harness.node().turns().current().number == 1; }));
  }

  // Members that are silent do not reply.
  auto SetSilent(bool is_silent) -> void { is_silent_ = is_silent; }

  // The fact about a turn at the first member.
  auto FindFact(const std::string& turn) -> std::optional<history::turn_fact> {
    const auto& facts = members_.front()->replica.facts();
    for (const auto& fact : facts.FindByHashes(facts.Hashes())) {
      if (fact.turn.value == turn) {
        return fact;
      }
    }
    return std::nullopt;
  }

  auto WaitUntilSettled(const std::string& turn) -> void {
    REQUIRE(harness_.RunUntil([&] {
      const auto fact = FindFact(turn);
      return fact && fact->settled_tokens.has_value();
    }));
  }

 private:
  struct member {
    history::fact_replica replica;
    std::unique_ptr<net::channel_server> server;
  };

  auto OnFrame(member& to,
               const std::shared_ptr<net::frame_channel>& channel,
               std::string_view frame) -> void {
    const auto request = history::DecodeMessage(frame);
    if (!request || channel == nullptr || is_silent_) {
      return;
    }
    constexpr auto kNow = std::int64_t{1'000'000};
    auto effect = to.replica.Handle(*request, kNow);
    if (effect.reply) {
      channel->Send(
          history::EncodeMessage({request->id, 1, std::move(*effect.reply)}));
    }
  }

  front_harness& harness_;
  bool is_silent_ = false;
  std::vector<std::unique_ptr<member>> members_;
};

auto ResponseHead(net::http_exchange& exchange) -> net::http_response {
  return {200, {{"Id", std::string(exchange.request().Header("Id"))}}, ""};
}

// Sends a number of events, and ends the stream or breaks it off.
auto StreamingEndpoint(int& runs, int events, bool breaks_off = false)
    -> endpoint_handler {
  return [&runs, events,
          breaks_off](net::http_exchange& exchange) -> asio::awaitable<void> {
    ++runs;
    co_await exchange.StartStream(ResponseHead(exchange));
    for (auto id = 1; id <= events; ++id) {
      co_await exchange.WriteChunk("id: " + std::to_string(id) +
                                   "\ndata: t\n\n");
    }
    if (!breaks_off) {
      co_await exchange.EndStream();
      co_return;
    }
    auto timer = asio::steady_timer(co_await asio::this_coro::executor);
    timer.expires_after(std::chrono::milliseconds(20));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    exchange.Abort();
  };
}

auto TurnHeaders(const std::string& program, int budget) -> net::http_headers {
  return {{"Program", program},
          {"Budget", std::to_string(budget)},
          {"Max-Tokens", std::to_string(kMaxTokens)}};
}

TEST_CASE("a program's budget holds whether its turns are stored or not") {
  struct budget_case {
    const char* first;
    const char* second;
  };
  for (const auto& routes :
       {budget_case{"stream", "stream"}, budget_case{"stream", "kept"},
        budget_case{"kept", "stream"}, budget_case{"resume", "stream"}}) {
    CAPTURE(routes.first);
    CAPTURE(routes.second);
    auto harness = front_harness();
    auto runs = 0;
    harness.AddEndpoint("a", StreamingEndpoint(runs, kEvents));
    harness.Configure();
    auto journals = memory_journals(harness);
    // Room for one turn at its most after the first one's events.
    const auto headers = TurnHeaders("p", kEvents + kMaxTokens);
    CHECK(harness.Send(routes.first, "t1", headers).response.status == 200);
    journals.WaitUntilSettled("t1");
    CHECK(harness.Send(routes.second, "t2", headers).response.status == 200);
    journals.WaitUntilSettled("t2");
    CHECK(runs == 2);
    const auto refused = harness.Send(routes.first, "t3", headers);
    CHECK(refused.response.body == "budget_spent");
    CHECK(runs == 2);
    // Another program has a budget of its own.
    CHECK(harness.Send(routes.first, "t4", TurnHeaders("q", kMaxTokens))
              .response.status == 200);
  }
}

TEST_CASE("a turn that is not stored keeps no content") {
  auto harness = front_harness();
  auto runs = 0;
  harness.AddEndpoint("a", StreamingEndpoint(runs, kEvents));
  harness.Configure();
  auto journals = memory_journals(harness);
  harness.Send("stream", "t1", TurnHeaders("p", 100));
  journals.WaitUntilSettled("t1");
  const auto fact = journals.FindFact("t1");
  CHECK(fact->reserved_tokens == kMaxTokens);
  CHECK(fact->settled_tokens == kEvents);
  CHECK_FALSE(fact->content);
}

TEST_CASE("a turn that breaks off counts what its caller received") {
  auto harness = front_harness();
  auto runs = 0;
  harness.AddEndpoint("a", StreamingEndpoint(runs, 3, true));
  harness.Configure();
  auto journals = memory_journals(harness);
  CHECK(harness.Send("stream", "t1", TurnHeaders("p", 100)).outcome ==
        net::http_outcome::kNoAnswer);
  journals.WaitUntilSettled("t1");
  CHECK(journals.FindFact("t1")->settled_tokens == 3U);
}

TEST_CASE("a refused turn spends nothing") {
  auto harness = front_harness();
  harness.Configure();
  auto journals = memory_journals(harness);
  const auto headers = TurnHeaders("p", kMaxTokens);
  CHECK(harness.Send("stream", "t1", headers).response.body == "no_endpoint");
  journals.WaitUntilSettled("t1");
  CHECK(journals.FindFact("t1")->settled_tokens == 0U);
}

TEST_CASE("a turn with a budget does not run without its journals") {
  auto harness = front_harness();
  auto runs = 0;
  harness.AddEndpoint("a", StreamingEndpoint(runs, kEvents));
  harness.Configure();
  auto journals = memory_journals(harness);
  journals.SetSilent(true);
  const auto refused = harness.Send("stream", "t1", TurnHeaders("p", 100));
  CHECK(refused.response.body == "history_unavailable");
  CHECK(runs == 0);
  // A stream without a budget needs no journal.
  CHECK(harness.Send("stream", "r").response.status == 200);
}

}  // namespace
}  // namespace daisywind::front
