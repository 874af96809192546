#include <doctest/doctest.h>

#include <cstdio>

#include "common/endpoint_key.h"
#include "load_replay.h"

namespace daisywind::dispatch {
namespace {

constexpr auto kStart = instant(100s);

auto Endpoint(const char* id) -> endpoint {
  auto entry = endpoint{};
  entry.id = endpoint_id(id);
  entry.service = service_id("s");
  entry.slots = 6;
  return entry;
}

// All reports are received by all fronts at the same moment.
auto BurstOptions() -> replay_options {
  auto options = replay_options{};
  options.utilisation = 0.8;
  options.report_interval = 200ms;
  options.is_in_step = true;
  options.length = 3s;
  return options;
}

auto Print(const char* half_life, const replay_result& result) -> void {
  std::printf(" | %s %.3f %.3f %.1f%% %.1f", half_life, result.variation_100ms,
              result.variation_1s, 100 * result.avoidable_waits,
              double(result.mean_wait.count()) / 1000);
}

// Prints the figures of docs/design/even-load.md, those of the half-life of
// 500 ms first: variation over windows of 100 ms and 1 s, avoidable waits, mean
// wait in milliseconds. Run with --no-skip.
TEST_CASE("figures of even load" * doctest::skip()) {
  for (const auto slots : {6U, 16U, 24U}) {
    for (const auto utilisation : {0.3, 0.5, 0.8}) {
      for (const auto slow_every : {0U, 4U}) {
        for (const auto fronts : {1U, 8U, 73U, 300U}) {
          for (const auto interval : {50ms, 200ms, 500ms, 2000ms}) {
            auto options = replay_options{};
            options.fronts = fronts;
            options.slots = slots;
            options.report_interval = interval;
            // Every fourth endpoint at a third of the speed takes a sixth of
            // the capacity.
            options.utilisation =
                slow_every > 0 ? utilisation * 5 / 6 : utilisation;
            options.slow_every = slow_every;
            options.length = 8s;
            options.is_engine = slots > 6;
            if (options.is_engine) {
              options.service_time = 800ms;
            }
            std::printf("%2u slots, %.1f, slow %u, %3u fronts, %4d ms", slots,
                        utilisation, slow_every, fronts, int(interval.count()));
            const auto learned = Replay(options);
            options.table.report_half_life_responses = 1e9;
            Print("fixed", Replay(options));
            Print("learned", learned);
            std::printf("\n");
          }
        }
      }
    }
  }
}

// Guards against fronts that all choose the endpoint that was free at the last
// report: 68 % of the requests then waited while another endpoint had a slot.
TEST_CASE("many fronts with the same old reports spread the load") {
  auto options = BurstOptions();
  options.is_in_step = false;
  const auto result = Replay(options);
  CHECK(result.avoidable_waits < 0.45);
  CHECK(result.variation_100ms < 0.35);
}

// Guards against a wave of requests after each burst of reports.
TEST_CASE("reports in bursts don't move all fronts to the same endpoints") {
  auto options = BurstOptions();
  const auto result = Replay(options);
  options.table.report_half_life_responses = 1e9;
  const auto with_fixed_half_life = Replay(options);
  CHECK(result.avoidable_waits < 0.7 * with_fixed_half_life.avoidable_waits);
  CHECK(result.variation_100ms < 0.7 * with_fixed_half_life.variation_100ms);
}

// Guards against an endpoint that attracts all fronts by wrong reports.
TEST_CASE("an endpoint that reports zero and is full gets a bounded share") {
  auto options = BurstOptions();
  options.false_zeros = 1;
  CHECK(Replay(options).first_share < 1.4);
}

// Guards against an endpoint that is starved or flooded since it is unknown.
TEST_CASE("an endpoint that never reports gets about the mean share") {
  auto options = BurstOptions();
  options.silent = 1;
  const auto share = Replay(options).first_share;
  CHECK(share > 0.6);
  CHECK(share < 1.4);
}

TEST_CASE("a report's half-life follows response times and fronts") {
  auto table = endpoint_table({});
  const auto entry = Endpoint("a");
  table.Put(entry, kStart);
  CHECK(table.ReportHalfLife(entry.service) == 500ms);
  table.OnRequestSent(entry.id, kStart);
  table.OnRequestEnded(entry.id, 0, 60ms);
  // Still the maximum: the number of fronts is not known.
  CHECK(table.ReportHalfLife(entry.service) == 500ms);
  table.SetFrontCount(1);
  CHECK(table.ReportHalfLife(entry.service) == 240ms);
  table.SetFrontCount(8);
  CHECK(table.ReportHalfLife(entry.service) == 30ms);
  table.SetFrontCount(300);
  CHECK(table.ReportHalfLife(entry.service) == 9ms);
  // Refused and failed requests say nothing about response times.
  table.OnRequestEnded(entry.id);
  CHECK(table.ReportHalfLife(entry.service) == 9ms);
  // Long responses do not make reports count for longer than the maximum.
  for (auto i = 0; i < 1000; ++i) {
    table.OnRequestEnded(entry.id, 0, 30s);
  }
  CHECK(table.ReportHalfLife(entry.service) == 500ms);
}

// Guards against a restarted endpoint that is taken to be full.
TEST_CASE("a report from before a restart does not count for the new run") {
  auto table = endpoint_table({});
  auto entry = Endpoint("a");
  table.Put(entry, kStart);
  table.OnReport(entry.id, {6, 9, 6}, kStart);
  entry.started_ms = 1;
  table.Put(entry, kStart + 1s);
  table.OnSharedReport(KeyOf(entry.id), {6, 9, 6}, kStart + 900ms);
  CHECK(table.ExpectedLoad(*table.Find(entry.id), 0, kStart + 1s) ==
        doctest::Approx(0));
  CHECK(table.SpreadOf(entry.service, kStart + 1s).reporting == 0);
}

TEST_CASE("the spread of a service covers recent reports") {
  auto table = endpoint_table({});
  const auto service = service_id("s");
  for (const auto* id : {"a", "b", "old", "silent", "leaving"}) {
    table.Put(Endpoint(id), kStart);
  }
  table.OnReport(endpoint_id("old"), {6, 50, 6}, kStart);
  table.OnReport(endpoint_id("a"), {2, 0, 6}, kStart + 5s);
  table.OnReport(endpoint_id("b"), {6, 0, 6}, kStart + 5s);
  table.OnReport(endpoint_id("leaving"), {6, 50, 6}, kStart + 5s);
  table.SetLeaving(Endpoint("leaving"), kStart + 5s);
  const auto spread = table.SpreadOf(service, kStart + 5s);
  CHECK(spread == load_spread{2, 1, 1, 4.0, 0.5});
  CHECK(table.SpreadOf(service_id("unknown"), kStart) == load_spread{});
}

}  // namespace
}  // namespace daisywind::dispatch
