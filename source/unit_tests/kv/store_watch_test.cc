#include "kv/store_watch.h"

#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace daisywind::kv {
namespace {

namespace asio = boost::asio;

constexpr auto kListedRevision = revision{5};
constexpr auto kChangedRevision = revision{6};
// Ends a test whose watch never asks for the change.
constexpr auto kMaxCalls = 100;

// A store in which a key changes right after the first listing and whose first
// call for changes fails to report that: it ends without changes but with the
// newest revision, or without a response. `elapsed` is the time that the calls
// for changes have taken.
class forgetful_store : public store {
 public:
  explicit forgetful_store(bool responds) : responds_(responds) {}

  auto Read(std::string)
      -> asio::awaitable<store_result<std::optional<key_value>>> override {
    co_return store_result<std::optional<key_value>>{};
  }

  auto List(std::string) -> asio::awaitable<store_result<listing>> override {
    const auto at = calls_ == 0 ? kListedRevision : kChangedRevision;
    co_return store_result<listing>{outcome::kAnswered, listing{{}, at}, ""};
  }

  auto Write(txn_request) -> asio::awaitable<store_result<bool>> override {
    co_return store_result<bool>{};
  }

  auto WaitForChanges(std::string, revision after, duration wait)
      -> asio::awaitable<store_result<change_list>> override {
    co_await asio::post(asio::use_awaitable);
    auto result = store_result<change_list>{
        outcome::kAnswered, change_list{{}, kChangedRevision, false}, ""};
    const auto is_reported = after < kChangedRevision || calls_ > kMaxCalls;
    if (calls_++ > 0 && is_reported) {
      result.value->changes.push_back(
          {{"key", "value", kChangedRevision, kChangedRevision}, false});
    } else if (responds_) {
      elapsed += wait;
    } else {
      elapsed += wait + kResponseAllowance;
      result = {outcome::kUnknown, std::nullopt, "no response"};
    }
    co_return result;
  }

  duration elapsed{};

 private:
  bool responds_;
  int calls_ = 0;
};

// Answers listings, but no call for changes.
class unwatchable_store : public forgetful_store {
 public:
  unwatchable_store() : forgetful_store(true) {}

  auto List(std::string prefix)
      -> asio::awaitable<store_result<listing>> override {
    ++lists;
    co_return co_await forgetful_store::List(std::move(prefix));
  }

  auto WaitForChanges(std::string, revision, duration)
      -> asio::awaitable<store_result<change_list>> override {
    co_await asio::post(asio::use_awaitable);
    co_return store_result<change_list>{outcome::kRefused, std::nullopt,
                                        "refused"};
  }

  int lists = 0;
};

// Runs a watch until it has learned of the change. Returns the longest time
// that this can take.
auto TimeToLearnOfChange(duration time_limit, bool responds) -> duration {
  auto context = asio::io_context{1};
  auto source = forgetful_store(responds);
  const auto options = WatchOptionsFor(time_limit);
  auto is_known = false;
  auto watch =
      store_watch(context, source, "", options,
                  {[&](const listing& all) {
                     is_known |= all.revision_at > kListedRevision;
                   },
                   [&](const change_list&) { is_known = true; }, [](bool) {}});
  watch.Start();
  while (!is_known && context.run_one() > 0) {
  }
  REQUIRE(is_known);
  // The change may be made at the start of a pause.
  const auto time = options.coalesce + source.elapsed;
  watch.Stop();
  context.run();
  return time;
}

TEST_CASE("a change that a call does not report is known within the limit") {
  for (const auto limit : {duration(1s), duration(2500ms), duration(14s)}) {
    CHECK(TimeToLearnOfChange(limit, true) <= limit);
  }
}

TEST_CASE("a change is known within the limit although a call is unanswered") {
  for (const auto limit : {duration(2s), duration(2500ms), duration(14s)}) {
    CHECK(TimeToLearnOfChange(limit, false) <= limit);
  }
}

// A store with one key of `kBytes` bytes, which has changed kVersionsPerCall
// times whenever it is asked, and some that don't change.
class busy_store : public forgetful_store {
 public:
  static constexpr auto kBytes = std::size_t{1000};
  static constexpr auto kVersionsPerCall = 8;
  static constexpr auto kRounds = 40;

  busy_store() : forgetful_store(true) {}

  auto List(std::string) -> asio::awaitable<store_result<listing>> override {
    co_await asio::post(asio::use_awaitable);
    revision_ += kVersionsPerCall;
    auto all = listing{};
    all.revision_at = revision_;
    all.items.push_back({"often", std::string(kBytes, 'x'), 1, revision_});
    all.items.push_back({"never", std::string(kBytes, 'y'), 1, 1});
    Count(all.items.size());
    co_return store_result<listing>{outcome::kAnswered, std::move(all), ""};
  }

  auto WaitForChanges(std::string, revision after, duration)
      -> asio::awaitable<store_result<change_list>> override {
    co_await asio::post(asio::use_awaitable);
    revision_ += kVersionsPerCall;
    auto list = change_list{};
    for (auto at = after + 1; at <= revision_; ++at) {
      list.changes.push_back(
          {{"often", std::string(kBytes, 'x'), 1, at}, false});
    }
    list.next = revision_;
    Count(list.changes.size());
    co_return store_result<change_list>{outcome::kAnswered, std::move(list),
                                        ""};
  }

  int rounds = 0;
  std::size_t bytes = 0;

 private:
  auto Count(std::size_t items) -> void {
    ++rounds;
    bytes += items * kBytes;
  }

  revision revision_ = 1;
};

// Regression: the bytes that a watch received grew with the number of versions
// of one key.
TEST_CASE("many versions of one key cost a watch no more than listings") {
  auto context = asio::io_context{1};
  auto source = busy_store{};
  auto options = watch_options{};
  options.coalesce = duration(0);
  options.lists_if_smaller = true;
  auto watch = store_watch(
      context, source, "", options,
      {[](const listing&) {}, [](const change_list&) {}, [](bool) {}});
  watch.Start();
  while (source.rounds < busy_store::kRounds && context.run_one() > 0) {
  }
  // One call for changes shows how large they are.
  constexpr auto kListingBytes = 2 * busy_store::kBytes;
  CHECK(source.bytes <=
        (busy_store::kRounds + 2 * busy_store::kVersionsPerCall) *
            kListingBytes);
  watch.Stop();
  context.run();
}

// A store whose first call for changes brings all keys.
class copied_store : public forgetful_store {
 public:
  copied_store() : forgetful_store(true) {}

  auto WaitForChanges(std::string, revision, duration)
      -> asio::awaitable<store_result<change_list>> override {
    co_await asio::post(asio::use_awaitable);
    auto list = change_list{};
    list.changes.push_back({{"key", "value", 7, 7}, false});
    list.next = 7;
    list.is_snapshot = true;
    co_return store_result<change_list>{outcome::kAnswered, std::move(list),
                                        ""};
  }
};

TEST_CASE("a copy of all keys replaces what is known") {
  auto context = asio::io_context{1};
  auto source = copied_store{};
  auto snapshots = std::vector<listing>{};
  auto watch = store_watch(
      context, source, "", watch_options{},
      {[&](const listing& all) { snapshots.push_back(all); },
       [](const change_list&) { FAIL("not a change"); }, [](bool) {}});
  watch.Start();
  while (snapshots.size() < 2 && context.run_one() > 0) {
  }
  REQUIRE(snapshots.size() == 2);
  CHECK(snapshots.back() == listing{{{"key", "value", 7, 7}}, 7});
  watch.Stop();
  context.run();
}

// A store whose answers are written by the test, the last one again and again.
class scripted_store : public forgetful_store {
 public:
  scripted_store() : forgetful_store(true) {}

  auto List(std::string) -> asio::awaitable<store_result<listing>> override {
    co_await asio::post(asio::use_awaitable);
    ++lists;
    co_return listed;
  }

  auto WaitForChanges(std::string, revision, duration)
      -> asio::awaitable<store_result<change_list>> override {
    co_await asio::post(asio::use_awaitable);
    ++calls;
    auto answer = changes.front();
    if (changes.size() > 1) {
      changes.erase(changes.begin());
    }
    co_return answer;
  }

  auto AddAnswer(change_list list, std::optional<instant> as_of) -> void {
    list.as_of = as_of;
    changes.push_back({outcome::kAnswered, std::move(list), ""});
  }

  store_result<listing> listed;
  std::vector<store_result<change_list>> changes;
  int lists = 0;
  int calls = 0;
};

struct proof_fixture {
  proof_fixture() {
    auto all = listing{{}, 5};
    all.as_of = instant(10s);
    source.listed = {outcome::kAnswered, std::move(all), ""};
    options.coalesce = duration(0);
    options.initial_backoff = duration(0);
    options.max_backoff = duration(0);
  }

  // Runs a watch until it has made a number of calls. Returns what is proven
  // then.
  auto ProvenAfter(int calls) -> std::optional<instant> {
    auto watch = store_watch(
        context, source, "", options,
        {[](const listing&) {}, [](const change_list&) {}, [](bool) {}});
    CHECK_FALSE(watch.known_as_of());
    watch.Start();
    while (source.calls < calls && context.run_one() > 0) {
    }
    watch.Stop();
    const auto proven = watch.known_as_of();
    context.run();
    return proven;
  }

  static auto Change(revision at) -> change_list {
    return {{{{"key", "value", at, at}, false}}, at, false};
  }

  asio::io_context context{1};
  scripted_store source;
  watch_options options;
};

// Guards against a proof that is older than need be, which would refuse keys
// that are valid.
TEST_CASE_FIXTURE(proof_fixture, "a listing proves what is known") {
  source.AddAnswer({{}, 5, false}, std::nullopt);
  CHECK(ProvenAfter(2) == instant(10s));
}

TEST_CASE_FIXTURE(proof_fixture, "answers without changes prove it as well") {
  source.AddAnswer({{}, 5, false}, instant(11s));
  CHECK(ProvenAfter(2) == instant(11s));
}

TEST_CASE_FIXTURE(proof_fixture, "answers with changes prove it") {
  source.AddAnswer(Change(6), instant(12s));
  source.AddAnswer({{}, 6, false}, std::nullopt);
  CHECK(ProvenAfter(3) == instant(12s));
}

TEST_CASE_FIXTURE(proof_fixture, "a copy of all keys proves it") {
  auto copy = Change(7);
  copy.is_snapshot = true;
  source.AddAnswer(copy, instant(13s));
  source.AddAnswer({{}, 7, false}, std::nullopt);
  CHECK(ProvenAfter(3) == instant(13s));
}

// Guards against a proof that goes back in time with a journal that lags, and
// against one by an answer whose time is not known.
TEST_CASE_FIXTURE(proof_fixture, "an older proof or none changes nothing") {
  source.AddAnswer({{}, 5, false}, instant(12s));
  source.AddAnswer({{}, 5, false}, instant(11s));
  source.AddAnswer({{}, 5, false}, std::nullopt);
  CHECK(ProvenAfter(5) == instant(12s));
}

// Guards against a proof by an answer that leaves changes out.
TEST_CASE_FIXTURE(proof_fixture,
                  "an answer after lost history proves nothing") {
  source.AddAnswer({{}, 9, true}, instant(20s));
  CHECK(ProvenAfter(4) == instant(10s));
  CHECK(source.lists > 1);
}

TEST_CASE_FIXTURE(proof_fixture, "a call without an answer proves nothing") {
  source.changes.push_back({outcome::kUnknown, std::nullopt, "no response"});
  source.listed.value->as_of = std::nullopt;
  CHECK_FALSE(ProvenAfter(3));
}

TEST_CASE("a watch that has to prove its age asks several times within it") {
  for (const auto age : {duration(1s), duration(5s), duration(600s)}) {
    const auto before = RelayingWatchOptionsFor(2500ms);
    const auto options = WithMaxAge(before, age);
    CHECK(options.wait + options.coalesce + options.max_backoff <= age / 3);
    CHECK(options.wait <= before.wait);
    CHECK(options.coalesce <= before.coalesce);
  }
}

TEST_CASE("a store that refuses calls for changes is not flooded with lists") {
  // The pauses up to the tenth listing add up to more than five seconds.
  constexpr auto kMaxLists = 10;
  auto context = asio::io_context{1};
  auto source = unwatchable_store{};
  auto watch = store_watch(
      context, source, "", watch_options{},
      {[](const listing&) {}, [](const change_list&) {}, [](bool) {}});
  watch.Start();
  context.run_for(std::chrono::milliseconds(200));
  CHECK(source.lists < kMaxLists);
  watch.Stop();
  context.restart();
  context.run();
}

}  // namespace
}  // namespace daisywind::kv
