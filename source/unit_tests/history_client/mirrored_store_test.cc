#include "history_client/mirrored_store.h"

#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include "common/process_clock.h"
#include "history_wire/codec.h"
#include "kv/store_watch.h"
#include "net/frame_length.h"
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
    return WaitAt(mirrored, after, wait);
  }

  auto WaitAt(mirrored_store& source, kv::revision after, duration wait)
      -> kv::store_result<kv::change_list> {
    return Await(source.WaitForChanges("", after, wait));
  }

  auto List() -> kv::listing {
    auto result = Await(mirrored.List(""));
    REQUIRE(result.value);
    return std::move(*result.value);
  }

  template <class Result>
  auto Await(asio::awaitable<Result> call) -> Result {
    auto result = std::optional<Result>{};
    asio::co_spawn(context, std::move(call),
                   [&](const std::exception_ptr&, Result received) {
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

// Regression: each front of a region listed the store after a failed call, over
// a link between regions that could not carry that.
TEST_CASE_FIXTURE(mirror_fixture,
                  "a region's journal lists in place of the store") {
  journal_copy = {7, {{"configuration", "1", 2, 7}}};
  const auto all = List();
  CHECK(all.revision_at == 7);
  CHECK(all.items.size() == 1);
  CHECK(store.lists() == 0);
}

// Guards against a listing that brings back what had changed.
TEST_CASE_FIXTURE(mirror_fixture,
                  "the store lists if the copy is older than what is known") {
  journal_copy = {7, {{"configuration", "1", 2, 7}}};
  Wait(2, 0s);
  journal_copy = {6, {{"configuration", "0", 2, 6}}};
  List();
  CHECK(store.lists() == 1);
}

// Guards against keys that are fetched twice because their transfer took long.
TEST_CASE_FIXTURE(mirror_fixture,
                  "newer keys serve although the journal's copy is too old") {
  journal_age = 61s;
  journal_copy = {7, {{"configuration", "1", 2, 7}}};
  const auto result = Wait(2, 0s);
  REQUIRE(result.value);
  CHECK(result.value->next == 7);
  CHECK(store.waits() == 0);
}

// A journal whose reply takes longer than the time-out of a request, in parts
// that do not.
class slow_journal {
 public:
  explicit slow_journal(asio::io_context& context)
      : acceptor_(context, {asio::ip::address_v4::loopback(), 0}) {
    asio::co_spawn(context, Serve(), asio::detached);
  }

  [[nodiscard]] auto address() const -> std::string {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  static constexpr auto kTimeout = duration(1s);
  int requests = 0;

 private:
  // Returns the frame of the reply with its length.
  static auto ReplyTo(std::string_view frame) -> std::string {
    const auto request = DecodeMessage(frame);
    REQUIRE(request);
    auto reply = copy_reply{store_copy{7, {{"configuration", "1", 2, 7}}}};
    reply.store_age = duration(0);
    auto bytes = EncodeMessage({request->id, 1, std::move(reply)});
    const auto length = net::EncodeLength(bytes.size());
    bytes.insert(bytes.begin(), length.begin(), length.end());
    return bytes;
  }

  auto Serve() -> asio::awaitable<void> {
    auto socket = co_await acceptor_.async_accept(asio::use_awaitable);
    auto length = net::length_bytes{};
    co_await asio::async_read(socket, asio::buffer(length),
                              asio::use_awaitable);
    auto frame = std::string(net::DecodeLength(length), ' ');
    co_await asio::async_read(socket, asio::buffer(frame), asio::use_awaitable);
    ++requests;
    frame = ReplyTo(frame);
    auto timer = asio::steady_timer(acceptor_.get_executor());
    const auto part = frame.size() / 8 + 1;
    for (auto sent = std::size_t{0}; sent < frame.size(); sent += part) {
      timer.expires_after(kTimeout / 6);
      co_await timer.async_wait(asio::use_awaitable);
      const auto rest = std::string_view(frame).substr(sent, part);
      co_await asio::async_write(socket, asio::buffer(rest),
                                 asio::use_awaitable);
    }
  }

  asio::ip::tcp::acceptor acceptor_;
};

// Regression: the replies with a large configuration came too late for all VMs
// of a region at once, and each of them fetched it from the store instead, over
// a link that could not carry that.
TEST_CASE_FIXTURE(mirror_fixture,
                  "a large copy that is on its way is not given up") {
  auto slow = slow_journal(context);
  current.members.front().address = slow.address();
  auto options = mirrored_store_options{};
  options.request_timeout = slow_journal::kTimeout;
  options.max_age = 60s;
  auto patient = mirrored_store(
      context, store, region_id("r"),
      [this]() -> const view& { return current; }, options);
  const auto result = WaitAt(patient, 2, 0s);
  REQUIRE(result.value);
  CHECK(result.value->next == 7);
  CHECK(slow.requests == 1);
  CHECK(store.waits() == 0);
}

// Journals in the region and elsewhere, of a VM that has to prove how new its
// changes are.
struct proof_fixture {
  proof_fixture() {
    SetReplies(near, near_proof);
    SetReplies(far, far_proof);
    current = {1,
               {Member("n", near.address(), "r"),
                Member("f", far.address(), "elsewhere")}};
  }

  static auto Member(const char* name, std::string address, const char* region)
      -> member {
    return {vm_id(name), disk_id(name), std::move(address),
            failure_domain_id(name), region_id(region)};
  }

  static auto SetReplies(testing::fake_journal& journal,
                         const std::optional<duration>& proof_age) -> void {
    journal.on_request = [&proof_age](const copy_request&) {
      auto reply = copy_reply{};
      reply.store_age = duration(0);
      reply.proof_age = proof_age;
      return reply;
    };
  }

  static auto Options() -> mirrored_store_options {
    auto options = mirrored_store_options{};
    options.request_timeout = 20s;
    options.max_age = 60s;
    options.retry_after = 60s;
    // Proofs serve up to 60 s.
    options = WithProofs(options, 200s);
    options.poll_interval = 1ms;
    options.source_retry_after = 0ms;
    return options;
  }

  auto Wait() -> kv::change_list {
    auto result = TryWait();
    REQUIRE(result.value);
    return *result.value;
  }

  auto TryWait() -> kv::store_result<kv::change_list> {
    auto result = std::optional<kv::store_result<kv::change_list>>{};
    asio::co_spawn(context, mirrored.WaitForChanges("", 1, 0s),
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
    return *result;
  }

  asio::io_context context{1};
  testing::fake_store store{context};
  testing::fake_journal near{context};
  testing::fake_journal far{context};
  std::optional<duration> near_proof = duration(5s);
  std::optional<duration> far_proof = duration(3s);
  view current;
  mirrored_store mirrored{context, store, region_id("r"),
                          [this]() -> const view& { return current; },
                          Options()};
};

// Guards against a proof that looks newer than it is by the time that the
// journal's reply was on its way, or waited at a paused VM.
TEST_CASE_FIXTURE(proof_fixture,
                  "a proof's age counts from when the journal was asked") {
  auto answered_at = instant{};
  const auto asked_at = Now();
  const auto reply = near.on_request;
  near.on_request = [&](const copy_request& request) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    answered_at = Now();
    return reply(request);
  };
  const auto list = Wait();
  REQUIRE(list.as_of);
  CHECK(*list.as_of >= asked_at - 5s);
  CHECK(*list.as_of <= answered_at - 20ms - 5s);
  CHECK(list.changes.empty());
  CHECK(near.requests == 1);
  CHECK(far.requests == 0);
  CHECK(store.waits() == 0);
}

// Guards against a call that returns only once there is a change: the proof
// would be too old meanwhile.
TEST_CASE_FIXTURE(proof_fixture, "a call without changes brings a proof") {
  const auto first = Wait();
  const auto second = Wait();
  CHECK(second.as_of > first.as_of);
  CHECK(near.requests == 2);
}

// Guards against keys that are refused in a region whose journals the store
// turns away, while those of another region have proofs.
TEST_CASE_FIXTURE(proof_fixture,
                  "a journal elsewhere is asked after those of the region") {
  SUBCASE("without a proof") {
    near_proof = std::nullopt;
  }
  SUBCASE("with a proof that is too old") {
    near_proof = 61s;
  }
  const auto asked_at = Now();
  const auto list = Wait();
  CHECK(near.requests == 1);
  CHECK(far.requests == 1);
  CHECK(store.waits() == 0);
  REQUIRE(list.as_of);
  CHECK(*list.as_of >= asked_at - 3s);
}

// Guards against changes that are taken for complete without a proof.
TEST_CASE_FIXTURE(proof_fixture, "the store is asked if no journal has proof") {
  near_proof = std::nullopt;
  far_proof = std::nullopt;
  store.Put("configuration", "1");
  const auto asked_at = Now();
  const auto list = Wait();
  CHECK(near.requests == 1);
  CHECK(far.requests == 1);
  CHECK(store.waits() == 1);
  REQUIRE(list.as_of);
  CHECK(*list.as_of >= asked_at);
  CHECK(list.changes.size() == 1);
}

// Guards against a lost response that said that the history is gone: the store
// may answer a repeated call as if nothing had changed, which is no proof.
TEST_CASE_FIXTURE(proof_fixture,
                  "keys are listed after a lost response of the store") {
  near_proof = std::nullopt;
  far_proof = std::nullopt;
  store.Put("configuration", "1");
  store.LoseNextChanges();
  CHECK_FALSE(TryWait().value);
  const auto lists_before = store.lists();
  const auto list = Wait();
  CHECK(store.lists() == lists_before + 1);
  CHECK(store.waits() == 1);
  CHECK(list.is_snapshot);
  CHECK(list.changes.size() == 1);
  CHECK(list.as_of);
}

// Without proofs, the link between regions carries no calls for them.
TEST_CASE_FIXTURE(mirror_fixture,
                  "a journal elsewhere is not asked without proofs") {
  auto far = testing::fake_journal(context);
  far.on_request = journal.on_request;
  current.members.push_back(
      proof_fixture::Member("f", far.address(), "elsewhere"));
  journal_age = std::nullopt;
  Wait(1, 0s);
  CHECK(journal.requests == 1);
  CHECK(far.requests == 0);
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

}  // namespace daisywind::history
