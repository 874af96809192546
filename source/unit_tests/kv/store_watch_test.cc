#include "kv/store_watch.h"

#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <chrono>
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
