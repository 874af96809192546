#include "dispatch/endpoint_table.h"

#include <doctest/doctest.h>

#include "common/endpoint_key.h"

namespace daisywind::dispatch {
namespace {

constexpr auto kStart = instant(100s);

auto Endpoint(const char* id) -> endpoint {
  auto item = endpoint{};
  item.id = endpoint_id(id);
  item.service = service_id("s");
  item.address = "10.0.0.1:80";
  item.slots = 4;
  item.started_ms = 1;
  return item;
}

TEST_CASE("a removed entry is dropped at once") {
  auto table = endpoint_table({});
  table.Put(Endpoint("a"), kStart);
  table.Remove(endpoint_id("a"), false, kStart);
  CHECK(table.Find(endpoint_id("a")) == nullptr);
  CHECK(table.OfService(service_id("s")).empty());
}

TEST_CASE("an entry removed in doubt stays usable for the grace period") {
  auto table = endpoint_table({});
  table.Put(Endpoint("a"), kStart);
  table.Remove(endpoint_id("a"), true, kStart);
  CHECK(table.Tick(kStart + 1999ms).empty());
  CHECK(table.Find(endpoint_id("a")) != nullptr);
  CHECK(table.Tick(kStart + 2s).size() == 1);
  CHECK(table.Find(endpoint_id("a")) == nullptr);
}

TEST_CASE("a repeated removal in doubt does not extend the grace period") {
  auto table = endpoint_table({});
  table.Put(Endpoint("a"), kStart);
  table.Remove(endpoint_id("a"), true, kStart);
  table.Remove(endpoint_id("a"), true, kStart + 1500ms);
  CHECK(table.Tick(kStart + 2s).size() == 1);
}

TEST_CASE("an entry that comes back cancels the pending removal") {
  auto table = endpoint_table({});
  table.Put(Endpoint("a"), kStart);
  table.Remove(endpoint_id("a"), true, kStart);
  table.Put(Endpoint("a"), kStart + 1s);
  CHECK(table.Tick(kStart + 10s).empty());
}

TEST_CASE("an endpoint that has said it leaves does so until it is replaced") {
  auto table = endpoint_table({});
  const auto entry = Endpoint("a");
  table.Put(entry, kStart);
  CHECK_FALSE(table.Find(entry.id)->IsLeaving());
  CHECK(table.SetLeaving(entry, kStart));
  CHECK_FALSE(table.SetLeaving(entry, kStart));
  CHECK(table.Find(entry.id)->IsLeaving());
  // Its entry is written again, still as ready.
  auto repeated = entry;
  repeated.slots = 5;
  table.Put(repeated, kStart + 1s);
  CHECK(table.Find(entry.id)->IsLeaving());
  auto restarted = entry;
  restarted.started_ms = 2;
  table.Put(restarted, kStart + 2s);
  CHECK_FALSE(table.Find(entry.id)->IsLeaving());
  // A late response of the previous run.
  CHECK_FALSE(table.SetLeaving(entry, kStart + 3s));
  CHECK_FALSE(table.Find(entry.id)->IsLeaving());
}

TEST_CASE(
    "a leaving endpoint whose entry vanishes and comes back still leaves") {
  auto table = endpoint_table({});
  const auto entry = Endpoint("a");
  table.Put(entry, kStart);
  table.SetLeaving(entry, kStart);
  table.Remove(entry.id, false, kStart);
  table.Tick(kStart + 5s);
  table.Put(entry, kStart + 5s);
  CHECK(table.Find(entry.id)->IsLeaving());
}

TEST_CASE("an endpoint may say that it leaves while it has no entry") {
  auto table = endpoint_table({});
  const auto entry = Endpoint("a");
  table.Put(entry, kStart);
  table.Remove(entry.id, false, kStart);
  CHECK(table.SetLeaving(entry, kStart + 1s));
  table.Put(entry, kStart + 2s);
  CHECK(table.Find(entry.id)->IsLeaving());
}

TEST_CASE("another endpoint at the address of one that leaves does not leave") {
  auto table = endpoint_table({});
  table.Put(Endpoint("a"), kStart);
  table.SetLeaving(Endpoint("a"), kStart);
  table.Put(Endpoint("b"), kStart);
  CHECK_FALSE(table.Find(endpoint_id("b"))->IsLeaving());
}

TEST_CASE("a restart under the same id resets the endpoint's state") {
  auto table = endpoint_table({});
  auto entry = Endpoint("a");
  table.Put(entry, kStart);
  const auto parts = std::vector<prompt_part>{{prompt_part_id("x"), 100}};
  table.OnPromptProcessed(entry.id, parts);
  table.OnRequestSent(entry.id, kStart);
  CHECK(table.MissingTokens(entry.id, parts) == 0);
  entry.started_ms = 2;
  table.Put(entry, kStart);
  CHECK(table.MissingTokens(entry.id, parts) == 100);
  CHECK(table.Find(entry.id)->in_flight == 0);
  // The new run must not count the end of a request to the previous run.
  table.OnRequestEnded(entry.id);
  CHECK(table.Find(entry.id)->in_flight == 0);
  CHECK(table.OfService(service_id("s")).size() == 1);
}

TEST_CASE("an update within the same run keeps the endpoint's state") {
  auto table = endpoint_table({});
  auto entry = Endpoint("a");
  table.Put(entry, kStart);
  table.OnRequestSent(entry.id, kStart);
  entry.is_draining = true;
  table.Put(entry, kStart);
  CHECK(table.Find(entry.id)->entry.is_draining);
  CHECK(table.Find(entry.id)->in_flight == 1);
}

TEST_CASE("the reported load decays to the mean, in-flight requests stay") {
  auto table = endpoint_table({});
  const auto id = endpoint_id("a");
  table.Put(Endpoint("a"), kStart);
  table.OnRequestSent(id, kStart);
  table.OnReport(id, {3, 2, 4}, kStart);
  const auto load = [&](double mean, duration age) {
    return table.ExpectedLoad(*table.Find(id), mean, kStart + age);
  };
  CHECK(load(0, 0s) == doctest::Approx(5));
  CHECK(load(0, 500ms) == doctest::Approx(3));
  CHECK(load(0, 60s) == doctest::Approx(1));
  CHECK(load(8, 0s) == doctest::Approx(5));
  CHECK(load(8, 500ms) == doctest::Approx(7));
  CHECK(load(8, 60s) == doctest::Approx(9));
}

TEST_CASE("the mean covers only endpoints with a recent report") {
  auto table = endpoint_table({});
  const auto service = service_id("s");
  for (const auto* id : {"a", "b", "c"}) {
    table.Put(Endpoint(id), kStart);
  }
  CHECK(table.MeanOthersInFlight(service, kStart) == doctest::Approx(0));
  table.OnReport(endpoint_id("a"), {2, 0, 4}, kStart);
  table.OnReport(endpoint_id("b"), {4, 4, 4}, kStart + 3s);
  CHECK(table.MeanOthersInFlight(service, kStart + 3s) == doctest::Approx(5));
  CHECK(table.MeanOthersInFlight(service, kStart + 5s) == doctest::Approx(8));
  CHECK(table.ExpectedLoad(*table.Find(endpoint_id("c")), 5, kStart) ==
        doctest::Approx(5));
}

TEST_CASE("a shared load report applies unless a newer one is known") {
  auto table = endpoint_table({});
  const auto id = endpoint_id("a");
  const auto key = KeyOf(id);
  table.Put(Endpoint("a"), kStart);
  const auto load = [&](instant now) {
    return table.ExpectedLoad(*table.Find(id), 0, now);
  };
  table.OnSharedReport(key, {9, 1}, kStart - 1ms);
  CHECK_FALSE(table.Find(id)->report);
  table.OnSharedReport(key, {6, 1}, kStart + 1s);
  CHECK(load(kStart + 1s) == doctest::Approx(7));
  table.OnReport(id, {2, 0, 4}, kStart + 2s);
  table.OnSharedReport(key, {6, 1}, kStart + 1900ms);
  CHECK(load(kStart + 2s) == doctest::Approx(2));
  table.OnSharedReport(KeyOf(endpoint_id("unknown")), {6, 1}, kStart + 3s);
}

TEST_CASE("shared failures count once each and decay with age") {
  auto table = endpoint_table({});
  const auto id = endpoint_id("a");
  const auto key = KeyOf(id);
  table.Put(Endpoint("a"), kStart);
  const auto score = [&](instant now) {
    return table.FailureScore(*table.Find(id), now);
  };
  table.OnSharedFailure(key, kStart - 1ms);
  CHECK(score(kStart) == doctest::Approx(0));
  table.OnSharedFailure(key, kStart + 1s);
  table.OnSharedFailure(key, kStart + 1s + 9ms);
  CHECK(score(kStart + 1s) == doctest::Approx(1));
  CHECK(score(kStart + 4s) == doctest::Approx(0.5));
  table.OnHealthSignal(id, health_signal::kFailed, kStart + 4s);
  CHECK(score(kStart + 4s) == doctest::Approx(1.5));
}

TEST_CASE("the pause doubles with each failure and resets on an answer") {
  auto table = endpoint_table({});
  const auto id = endpoint_id("a");
  table.Put(Endpoint("a"), kStart);
  table.OnHealthSignal(id, health_signal::kFailed, kStart);
  CHECK(table.Find(id)->paused_until == kStart + 250ms);
  table.OnHealthSignal(id, health_signal::kFailed, kStart + 1s);
  CHECK(table.Find(id)->paused_until == kStart + 1500ms);
  for (auto i = 0; i < 20; ++i) {
    table.OnHealthSignal(id, health_signal::kFailed, kStart + 2s);
  }
  CHECK(table.Find(id)->paused_until == kStart + 6s);
  table.OnHealthSignal(id, health_signal::kAnswered, kStart + 7s);
  table.OnHealthSignal(id, health_signal::kFailed, kStart + 8s);
  CHECK(table.Find(id)->paused_until == kStart + 8250ms);
}

TEST_CASE("a missing response counts as a failure but causes no pause") {
  auto table = endpoint_table({});
  const auto id = endpoint_id("a");
  table.Put(Endpoint("a"), kStart);
  table.OnHealthSignal(id, health_signal::kNoResponse, kStart + 1s);
  CHECK(table.FailureScore(*table.Find(id), kStart + 1s) == doctest::Approx(1));
  CHECK(table.Find(id)->paused_until < kStart + 1s);
}

TEST_CASE("a prompt part counts as cached only after cached parts") {
  auto table = endpoint_table({});
  const auto id = endpoint_id("a");
  table.Put(Endpoint("a"), kStart);
  table.OnPromptProcessed(id, {{prompt_part_id("y"), 10}});
  CHECK(table.MissingTokens(id, {{prompt_part_id("x"), 100},
                                 {prompt_part_id("y"), 10}}) == 110);
  CHECK(table.MissingTokens(id, {{prompt_part_id("y"), 10},
                                 {prompt_part_id("x"), 100}}) == 100);
}

TEST_CASE("a grown prompt part is cached up to its processed length") {
  auto table = endpoint_table({});
  const auto id = endpoint_id("a");
  table.Put(Endpoint("a"), kStart);
  table.OnPromptProcessed(id, {{prompt_part_id("x"), 100}});
  CHECK(table.MissingTokens(
            id, {{prompt_part_id("x"), 150}, {prompt_part_id("y"), 10}}) == 60);
  table.OnPromptProcessed(id, {{prompt_part_id("x"), 150}});
  table.OnPromptProcessed(id, {{prompt_part_id("x"), 100}});
  CHECK(table.MissingTokens(id, {{prompt_part_id("x"), 150}}) == 0);
}

TEST_CASE("the least recently used prompt parts are evicted first") {
  auto cache = prompt_part_cache(2);
  cache.Add({prompt_part_id("x"), 1});
  cache.Add({prompt_part_id("y"), 2});
  cache.Add({prompt_part_id("x"), 1});
  cache.Add({prompt_part_id("z"), 3});
  CHECK(cache.TokensOf(prompt_part_id("x")) == 1);
  CHECK(cache.TokensOf(prompt_part_id("y")) == 0);
  CHECK(cache.TokensOf(prompt_part_id("z")) == 3);
}

TEST_CASE("a quota starts empty and allows one request at a time") {
  auto table = endpoint_table({});
  table.Put(Endpoint("a"), kStart);
  const auto& state = *table.Find(endpoint_id("a"));
  CHECK(table.HasQuota(state, kStart));
  CHECK(table.SetRateLimit(state.entry.id, 4.0, 0.5, kStart));
  CHECK(state.rate_limit == 4.0);
  CHECK_FALSE(table.HasQuota(state, kStart));
  CHECK(table.NextQuota(service_id("s"), kStart) == 500ms);
  CHECK(table.HasQuota(state, kStart + 500ms));
  // It does not save up while it is not used.
  table.OnRequestSent(state.entry.id, kStart + 60s);
  CHECK_FALSE(table.HasQuota(state, kStart + 60s + 499ms));
  CHECK(table.HasQuota(state, kStart + 60s + 500ms));
}

TEST_CASE("a new share keeps what the quota allows") {
  auto table = endpoint_table({});
  table.Put(Endpoint("a"), kStart);
  const auto id = endpoint_id("a");
  const auto& state = *table.Find(id);
  table.SetRateLimit(id, 4.0, 0.5, kStart);
  CHECK_FALSE(table.SetRateLimit(id, 4.0, 0.5, kStart + 250ms));
  CHECK(table.SetRateLimit(id, 4.0, 1.0, kStart + 250ms));
  CHECK_FALSE(table.HasQuota(state, kStart + 374ms));
  CHECK(table.HasQuota(state, kStart + 375ms));
  // Without a share nothing is added.
  table.OnRequestSent(id, kStart + 375ms);
  CHECK(table.SetRateLimit(id, 4.0, 0.0, kStart + 375ms));
  CHECK_FALSE(table.HasQuota(state, kStart + 60s));
  CHECK(table.NextQuota(service_id("s"), kStart) == std::nullopt);
  CHECK(table.SetRateLimit(id, std::nullopt, 0.0, kStart + 60s));
  CHECK(table.HasQuota(state, kStart + 60s));
}

TEST_CASE("a restart under the same id removes the rate limit") {
  auto table = endpoint_table({});
  auto entry = Endpoint("a");
  table.Put(entry, kStart);
  table.SetRateLimit(entry.id, 1.0, 0.0, kStart);
  ++entry.started_ms;
  table.Put(entry, kStart);
  CHECK_FALSE(table.Find(entry.id)->rate_limit);
  CHECK(table.HasQuota(*table.Find(entry.id), kStart));
}

// Guards against choices that follow one noisy report.
TEST_CASE("a pace is averaged over the last reports") {
  auto table = endpoint_table({});
  const auto id = endpoint_id("a");
  table.Put(Endpoint("a"), kStart);
  const auto pace = [&](instant now) {
    return table.ExpectedPace(*table.Find(id), now);
  };
  CHECK(pace(kStart) == 1.0);
  table.OnReport(id, {1, 0, 4, 2.0}, kStart);
  CHECK(pace(kStart) == doctest::Approx(2.0));
  table.OnReport(id, {1, 0, 4, 4.0}, kStart + 10ms);
  CHECK(pace(kStart + 10ms) > 2.0);
  CHECK(pace(kStart + 10ms) < 3.0);
  auto now = kStart + 10ms;
  for (auto i = 0; i < 100; ++i) {
    now += 50ms;
    table.OnReport(id, {1, 0, 4, i % 2 == 0 ? 1.0 : 3.0}, now);
  }
  CHECK(pace(now) > 1.5);
  CHECK(pace(now) < 2.5);
}

// Guards against a machine that is avoided for good after one slow moment: it
// gets no request, so it reports nothing.
TEST_CASE("a pace fades to the usual as its report ages") {
  auto table = endpoint_table({});
  const auto id = endpoint_id("a");
  table.Put(Endpoint("a"), kStart);
  table.OnReport(id, {1, 0, 4, 5.0}, kStart);
  const auto pace = [&](duration age) {
    return table.ExpectedPace(*table.Find(id), kStart + age);
  };
  CHECK(pace(500ms) == doctest::Approx(3.0));
  CHECK(pace(1s) == doctest::Approx(2.0));
  CHECK(pace(60s) == doctest::Approx(1.0));
  // Reports without a pace do not renew it.
  table.OnReport(id, {1, 0, 4}, kStart + 1s);
  CHECK(pace(1s) == doctest::Approx(2.0));
}

TEST_CASE("a pace that another VM was told counts as one's own") {
  auto table = endpoint_table({});
  const auto id = endpoint_id("a");
  table.Put(Endpoint("a"), kStart);
  const auto pace = [&](instant now) {
    return table.ExpectedPace(*table.Find(id), now);
  };
  auto shared = load_report{1, 0};
  shared.pace = 3.0;
  table.OnSharedReport(KeyOf(id), shared, kStart + 1s);
  CHECK(pace(kStart + 1s) == doctest::Approx(3.0));
  CHECK(table.Find(id)->report->slots == 4);
  // An older one than the newest report does not.
  shared.pace = 9.0;
  table.OnSharedReport(KeyOf(id), shared, kStart + 900ms);
  CHECK(pace(kStart + 1s) == doctest::Approx(3.0));
}

// Guards against a pace of the machine that an endpoint ran on before.
TEST_CASE("a new run of an endpoint has no pace") {
  auto table = endpoint_table({});
  const auto id = endpoint_id("a");
  auto entry = Endpoint("a");
  table.Put(entry, kStart);
  table.OnReport(id, {1, 0, 4, 5.0}, kStart);
  entry.started_ms = 2;
  table.Put(entry, kStart);
  CHECK(table.ExpectedPace(*table.Find(id), kStart) == 1.0);
}

}  // namespace
}  // namespace daisywind::dispatch
