// How a front learns of changes in the platform's store.
#include <doctest/doctest.h>

#include <string>

#include "front_harness.h"
#include "history/messages.h"
#include "history_wire/view_json.h"
#include "testing/fake_journal.h"

namespace daisywind::front {
namespace {

auto ResponseTo(net::http_exchange& exchange) -> net::http_response {
  return {200, {{"Id", std::string(exchange.request().Header("Id"))}}, ""};
}

}  // namespace

// Regression: each front fetched every version from the store, over a link
// between regions that could not carry them in time.
TEST_CASE(
    "a front does not ask the store while a journal of its region has it") {
  auto harness = front_harness();
  auto journal = testing::fake_journal(harness.context);
  journal.on_request = [&](const history::copy_request&) {
    auto reply = history::copy_reply{};
    reply.store_age = duration(0);
    return reply;
  };
  harness.store.Put(std::string(history::kViewKey),
                    history::RenderView(
                        {1,
                         {{vm_id("j"), history::disk_id("d"), journal.address(),
                           failure_domain_id("d"), region_id("r")}}}));
  REQUIRE(harness.RunUntil([&] { return journal.requests > 0; }));
  const auto waits = harness.store.waits();
  REQUIRE(harness.RunUntil([&] { return journal.requests > 4; }));
  CHECK(harness.store.waits() == waits);
}

// A journal that has restarted replies with what its disk had.
TEST_CASE("a front without the store never uses an endpoint that had left") {
  auto harness = front_harness();
  harness.store.SetDown(true);
  auto runs = 0;
  auto runs_after_leaving = 0;
  const auto serve = [](int& count) -> endpoint_handler {
    return
        [&count](net::http_exchange& exchange) -> boost::asio::awaitable<void> {
          ++count;
          co_await exchange.Respond(ResponseTo(exchange));
        };
  };
  harness.AddEndpoint("stays", serve(runs));
  harness.AddEndpoint("left", serve(runs_after_leaving));
  const auto entry = [&](const char* id) {
    const auto key = std::string("endpoints/") + id;
    return kv::key_value{key, harness.store.Value(key), 1, 1};
  };
  const auto configuration = kv::key_value{"configuration", "1", 1, 1};
  auto restarted = testing::fake_journal(harness.context);
  restarted.on_request = [&](const history::copy_request&) {
    return history::copy_reply{
        history::store_copy{3, {configuration, entry("stays"), entry("left")}}};
  };
  auto current = testing::fake_journal(harness.context);
  current.on_request = [&](const history::copy_request&) {
    return history::copy_reply{
        history::store_copy{9, {configuration, entry("stays")}}};
  };
  harness.UseJournals({restarted.address(), current.address()});
  REQUIRE(harness.RunUntil(
      [&] { return harness.node().service_directory().IsConfigured(); }));
  const auto& endpoints = harness.node().service_directory().endpoints();
  CHECK(endpoints.Find(endpoint_id("stays")) != nullptr);
  CHECK(endpoints.Find(endpoint_id("left")) == nullptr);
  CHECK(harness.Send("once", "r").response.status == 200);
  CHECK(runs == 1);
  CHECK(runs_after_leaving == 0);
}

// Regression: after all VMs had restarted, each front fetched the copies of all
// journals again and again, over a link between regions that could not carry
// them.
TEST_CASE("a front without the store fetches one copy only") {
  auto harness = front_harness();
  harness.store.SetDown(true);
  auto copies = 0;
  const auto reply_to = [&copies](const history::copy_request& request) {
    auto reply = history::copy_reply{};
    reply.revision_at = 9;
    const auto is_offered = request.wants_revision || request.wants_changes;
    if (!is_offered && request.known < 9) {
      ++copies;
      reply.copy = history::store_copy{9, {{"configuration", "1", 1, 1}}};
    }
    return reply;
  };
  auto first = testing::fake_journal(harness.context);
  first.on_request = reply_to;
  auto second = testing::fake_journal(harness.context);
  second.on_request = reply_to;
  harness.UseJournals({first.address(), second.address()});
  REQUIRE(harness.RunUntil(
      [&] { return harness.node().service_directory().IsConfigured(); }));
  CHECK(copies == 1);
  CHECK(first.requests + second.requests >= 2);
}

}  // namespace daisywind::front
