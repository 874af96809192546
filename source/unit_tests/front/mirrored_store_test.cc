#include "front/mirrored_store.h"

#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "common/process_clock.h"
#include "front_harness.h"
#include "history_wire/codec.h"
#include "history_wire/view_json.h"
#include "kv/store_watch.h"
#include "net/frame_channel.h"
#include "testing/fake_store.h"

namespace daisywind::front {
namespace {

namespace asio = boost::asio;

constexpr auto kMaxChannels = std::size_t{16};
// Long enough for a busy machine; no test waits for it.
constexpr auto kStepTimeout = 30s;

// A journal that replies to requests for its copy.
class fake_journal {
 public:
  explicit fake_journal(asio::io_context& context)
      : server_(context,
                kMaxChannels,
                {},
                [this](const std::shared_ptr<net::frame_channel>& channel) {
                  auto handlers = net::channel_handlers{};
                  handlers.on_frame = [this, weak = std::weak_ptr(channel)](
                                          std::string_view frame) {
                    Reply(weak, frame);
                  };
                  return handlers;
                }),
        port_(server_.Listen({"127.0.0.1", 0})) {}

  [[nodiscard]] auto address() const -> std::string {
    return "127.0.0.1:" + std::to_string(port_);
  }

  std::function<history::copy_reply(const history::copy_request&)> on_request;
  int requests = 0;

 private:
  auto Reply(const std::weak_ptr<net::frame_channel>& channel,
             std::string_view frame) -> void {
    const auto request = history::DecodeMessage(frame);
    REQUIRE(request);
    const auto* wanted = std::get_if<history::copy_request>(&request->body);
    const auto open = channel.lock();
    if (wanted == nullptr || open == nullptr) {
      return;
    }
    ++requests;
    open->Send(history::EncodeMessage({request->id, 1, on_request(*wanted)}));
  }

  net::channel_server server_;
  std::uint16_t port_;
};

struct mirror_fixture {
  mirror_fixture() {
    SetRegion("r");
    journal.on_request = [this](const history::copy_request& request) {
      auto reply = history::copy_reply{};
      if (journal_copy.revision_at > request.known) {
        reply.copy = journal_copy;
        reply.has_only_changes = true;
      }
      reply.store_age = journal_age;
      return reply;
    };
  }

  auto SetRegion(const char* region) -> void {
    current = {1,
               {{vm_id("j"), history::disk_id("d"), journal.address(),
                 failure_domain_id("f"), region_id(region)}}};
  }

  auto Wait(kv::revision after, duration wait)
      -> kv::store_result<kv::change_list> {
    auto result = std::optional<kv::store_result<kv::change_list>>{};
    asio::co_spawn(context, mirrored.WaitForChanges("", after, wait),
                   [&](const std::exception_ptr&,
                       kv::store_result<kv::change_list> received) {
                     result = std::move(received);
                   });
    const auto end = Now() + kStepTimeout;
    while (!result && Now() < end) {
      context.restart();
      context.run_for(std::chrono::milliseconds(5));
    }
    REQUIRE(result);
    return std::move(*result);
  }

  asio::io_context context{1};
  testing::fake_store store{context};
  fake_journal journal{context};
  history::store_copy journal_copy;
  std::optional<duration> journal_age = duration(0);
  history::view current;
  mirrored_store mirrored{context,
                          store,
                          region_id("r"),
                          [this]() -> const history::view& { return current; },
                          {/*poll_interval=*/10ms, /*request_timeout=*/20s,
                           /*max_age=*/60s, /*retry_after=*/60s,
                           /*max_journals=*/2}};
};

}  // namespace

// Regression: each front fetched every version from the store, over a link
// between regions that could not carry them in time.
TEST_CASE_FIXTURE(mirror_fixture,
                  "a region's journal delivers changes in place of the store") {
  constexpr auto kVersions = 100;
  for (auto version = 1; version <= kVersions; ++version) {
    store.Put("configuration", std::to_string(version));
  }
  journal_copy = {7, {{"configuration", "100", 2, 7}}};
  const auto result = Wait(2, 0s);
  REQUIRE(result.value);
  CHECK(result.value->next == 7);
  REQUIRE(result.value->changes.size() == 1);
  CHECK(result.value->changes.front().item.value == "100");
  CHECK(store.waits() == 0);
}

// Regression: see above.
TEST_CASE(
    "a front does not ask the store while a journal of its region has it") {
  auto harness = front_harness();
  auto journal = fake_journal(harness.context);
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

TEST_CASE_FIXTURE(mirror_fixture, "a wait without changes ends at its time") {
  const auto result = Wait(2, 50ms);
  REQUIRE(result.value);
  CHECK(result.value->changes.empty());
  CHECK_FALSE(result.value->is_history_lost);
  CHECK(journal.requests > 1);
  CHECK(store.waits() == 0);
}

TEST_CASE_FIXTURE(mirror_fixture, "removed keys are changes") {
  journal.on_request = [](const history::copy_request&) {
    auto reply = history::copy_reply{history::store_copy{7, {}}, true, {"k"}};
    reply.store_age = duration(0);
    return reply;
  };
  const auto result = Wait(2, 0s);
  REQUIRE(result.value);
  REQUIRE(result.value->changes.size() == 1);
  CHECK(result.value->changes.front().is_removed);
  CHECK(result.value->changes.front().item.key == "k");
}

TEST_CASE_FIXTURE(mirror_fixture,
                  "a whole copy replaces what a journal cannot tell apart") {
  journal.on_request = [](const history::copy_request&) {
    auto reply = history::copy_reply{history::store_copy{7, {}}};
    reply.store_age = duration(0);
    return reply;
  };
  const auto result = Wait(2, 0s);
  REQUIRE(result.value);
  CHECK(result.value->is_snapshot);
  CHECK(result.value->next == 7);
}

TEST_CASE_FIXTURE(mirror_fixture,
                  "the store is asked if the journal's copy is too old") {
  store.Put("configuration", "1");
  journal_age = 61s;
  const auto result = Wait(1, 0s);
  REQUIRE(result.value);
  CHECK(result.value->changes.size() == 1);
  CHECK(store.waits() == 1);
  // The journal is not asked again at once.
  Wait(1, 0s);
  CHECK(journal.requests == 1);
}

TEST_CASE_FIXTURE(mirror_fixture,
                  "the store is asked if the journal does not tell its age") {
  journal_age = std::nullopt;
  Wait(1, 0s);
  CHECK(journal.requests == 1);
  CHECK(store.waits() == 1);
}

TEST_CASE_FIXTURE(mirror_fixture,
                  "a journal elsewhere is asked if the region has none") {
  SetRegion("elsewhere");
  Wait(1, 0s);
  CHECK(journal.requests == 1);
  CHECK(store.waits() == 0);
}

TEST_CASE_FIXTURE(mirror_fixture, "the store is asked if there is no journal") {
  current = {};
  Wait(1, 0s);
  CHECK(journal.requests == 0);
  CHECK(store.waits() == 1);
}

TEST_CASE("a copy serves for longer than a journal waits for the store") {
  for (const auto limit : {duration(2s), duration(2500ms), duration(14s)}) {
    const auto watch = kv::RelayingWatchOptionsFor(limit);
    const auto options = MirroredStoreOptionsFor(limit);
    CHECK(watch.wait + watch.coalesce < options.max_age);
    // What is left serves a call to the store itself.
    CHECK(options.max_age + options.poll_interval < limit);
  }
}

}  // namespace daisywind::front
