#include "history_client/mirrored_store.h"

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
#include "kv/store_watch.h"
#include "testing/fake_journal.h"
#include "testing/fake_store.h"

namespace daisywind::history {
namespace {

namespace asio = boost::asio;

// Long enough for a busy machine; no test waits for it.
constexpr auto kStepTimeout = 30s;

struct mirror_fixture {
  mirror_fixture() {
    SetRegion("r");
    journal.on_request = [this](const copy_request& request) {
      auto reply = copy_reply{};
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
               {{vm_id("j"), disk_id("d"), journal.address(),
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
  testing::fake_journal journal{context};
  store_copy journal_copy;
  std::optional<duration> journal_age = duration(0);
  view current;
  mirrored_store mirrored{context,
                          store,
                          region_id("r"),
                          [this]() -> const view& { return current; },
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

TEST_CASE_FIXTURE(mirror_fixture, "a wait without changes ends at its time") {
  const auto result = Wait(2, 50ms);
  REQUIRE(result.value);
  CHECK(result.value->changes.empty());
  CHECK_FALSE(result.value->is_history_lost);
  CHECK(journal.requests > 1);
  CHECK(store.waits() == 0);
}

TEST_CASE_FIXTURE(mirror_fixture, "removed keys are changes") {
  journal.on_request = [](const copy_request&) {
    auto reply = copy_reply{store_copy{7, {}}, true, {"k"}};
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
  journal.on_request = [](const copy_request&) {
    auto reply = copy_reply{store_copy{7, {}}};
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

TEST_CASE_FIXTURE(mirror_fixture, "a copy is no answer of the store itself") {
  Wait(1, 0s);
  CHECK_FALSE(mirrored.SourceAge(Now()));
  current = {};
  Wait(1, 0s);
  CHECK(mirrored.SourceAge(Now()));
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

}  // namespace daisywind::history
