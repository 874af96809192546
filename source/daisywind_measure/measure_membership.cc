// Measures the membership protocol of a simulated fleet in one process: its
// cost in the steady state, the time to detect a failure, and false positives,
// which are suspicions and declarations of death against running VMs.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cxxopts.hpp>
#include <iostream>
#include <set>
#include <string>
#include <vector>

#include "membership_wire/codec.h"
#include "testing/fake_fleet.h"

namespace daisywind {
namespace {

using testing::fake_fleet;

constexpr auto kSettleTime = duration{60s};
constexpr auto kSteadyTime = duration{60s};
constexpr auto kObservationTime = duration{60s};
constexpr auto kMaxKilled = 4;
constexpr auto kMaxPaused = 4;
// Shorter than the default min_suspicion_time of membership_options.
constexpr auto kShortPause = duration{2s};
// Longer than the default suspicion time, which is log2 of the number of VMs in
// seconds but at least 3 s.
constexpr auto kLongPause = duration{30s};

auto VmName(int number) -> std::string {
  return "entry-vm-" + std::to_string(number);
}

auto StartFleet(fake_fleet& fleet, int count) -> void {
  static const auto domains =
      std::vector<std::string>{"cordoba-a", "cordoba-b", "rosario-a"};
  fleet.SetMessageSizer([](const membership::message& content) {
    return membership::EncodeMessage(content).size();
  });
  for (auto i = 0; i < count; ++i) {
    fleet.Start(VmName(i), domains[static_cast<std::size_t>(i) % 3],
                {VmName(0) + ":1"});
  }
  fleet.Advance(kSettleTime);
}

auto Seconds(duration time) -> double {
  return std::chrono::duration<double>(time).count();
}

// Prints the time from the fault to the first, the median and the last
// declaration of death.
auto PrintDetection(const fake_fleet& fleet,
                    instant fault,
                    const std::set<vm_ref>& subjects) -> void {
  auto times = std::vector<double>{};
  for (const auto& item : fleet.failure_reports()) {
    if (item.is_dead && item.at > fault && subjects.contains(item.subject)) {
      times.push_back(Seconds(item.at - fault));
    }
  }
  if (times.empty()) {
    std::printf("  no verdict of death\n");
    return;
  }
  std::sort(times.begin(), times.end());
  std::printf("  death known: first %.1f s, median %.1f s, last %.1f s\n",
              times.front(), times[times.size() / 2], times.back());
}

// Number of VMs that were suspected or, with `is_dead`, declared dead after
// `since`.
auto CountFailureReports(const fake_fleet& fleet, instant since, bool is_dead)
    -> std::size_t {
  auto subjects = std::set<vm_ref>{};
  for (const auto& item : fleet.failure_reports()) {
    if (item.is_dead == is_dead && item.at > since) {
      subjects.insert(item.subject);
    }
  }
  return subjects.size();
}

auto MeasureSteady(fake_fleet& fleet, int count) -> void {
  fleet.ResetCounts();
  const auto begin = std::chrono::steady_clock::now();
  fleet.Advance(kSteadyTime);
  const auto wall_time =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - begin);
  // Simulated time of all VMs together.
  const auto vm_seconds = static_cast<double>(count) * Seconds(kSteadyTime);
  const auto& counts = fleet.counts();
  std::printf(
      "  steady: %.2f messages/s and %.0f bytes/s a node, %.2f service "
      "calls/s in the fleet, %.3f %% of a core a node with the fake network\n",
      static_cast<double>(counts.messages) / vm_seconds,
      static_cast<double>(counts.bytes) / vm_seconds,
      static_cast<double>(counts.service_calls) / Seconds(kSteadyTime),
      100 * wall_time.count() / vm_seconds);
}

auto MeasureDeaths(fake_fleet& fleet, int count) -> void {
  auto killed = std::set<vm_ref>{};
  const auto fault = fleet.now();
  fleet.ResetCounts();
  for (auto i = 1; i <= std::min(kMaxKilled, count / 4); ++i) {
    killed.insert(fleet.Ref(VmName(i)));
    fleet.Kill(VmName(i));
  }
  fleet.Advance(kObservationTime);
  PrintDetection(fleet, fault, killed);
  std::printf("  with %zu deaths in 60 s: %.0f bytes/s a node, converged: %s\n",
              killed.size(),
              static_cast<double>(fleet.counts().bytes) /
                  (static_cast<double>(count) * Seconds(kObservationTime)),
              fleet.HasConverged() ? "yes" : "no");
}

auto MeasurePauses(fake_fleet& fleet, int count, duration pause) -> void {
  const auto fault = fleet.now();
  const auto paused = std::min(kMaxPaused, count / 4);
  for (auto i = 1; i <= paused; ++i) {
    fleet.Pause(VmName(count - i));
  }
  fleet.Advance(pause);
  for (auto i = 1; i <= paused; ++i) {
    fleet.Resume(VmName(count - i));
  }
  const auto resumed = fleet.now();
  fleet.Advance(kObservationTime);
  std::printf(
      "  %d VMs paused for %.0f s: %zu suspected, %zu taken as dead, %zu "
      "taken as dead after the pause, converged: %s\n",
      paused, Seconds(pause), CountFailureReports(fleet, fault, false),
      CountFailureReports(fleet, fault, true),
      CountFailureReports(fleet, resumed, true),
      fleet.HasConverged() ? "yes" : "no");
}

auto MeasureLoss(fake_fleet& fleet, double fraction) -> void {
  const auto fault = fleet.now();
  fleet.SetMessageLoss(fraction);
  fleet.Advance(kObservationTime);
  fleet.SetMessageLoss(0);
  std::printf(
      "  %.0f %% of messages lost for 60 s: %zu suspected, %zu taken as "
      "dead\n",
      100 * fraction, CountFailureReports(fleet, fault, false),
      CountFailureReports(fleet, fault, true));
}

auto MeasurePartition(fake_fleet& fleet) -> void {
  fleet.PartitionRegion("rosario");
  fleet.Advance(std::chrono::minutes{2});
  fleet.HealPartitions();
  const auto partition_end = fleet.now();
  while (!fleet.HasConverged() &&
         fleet.now() < partition_end + std::chrono::minutes{10}) {
    fleet.Advance(1s);
  }
  std::printf("  region parted for 120 s: whole again after %.0f s: %s\n",
              Seconds(fleet.now() - partition_end),
              fleet.HasConverged() ? "yes" : "no");
}

auto MeasureFleet(int count, std::uint64_t seed) -> void {
  std::printf("%d nodes, seed %llu\n", count,
              static_cast<unsigned long long>(seed));
  auto fleet = fake_fleet{{}, seed};
  StartFleet(fleet, count);
  // The last number counts suspicions and declarations of death.
  std::printf("  converged %.0f s after the start: %s, %zu verdicts\n",
              Seconds(kSettleTime), fleet.HasConverged() ? "yes" : "no",
              fleet.failure_reports().size());
  MeasureSteady(fleet, count);
  MeasurePauses(fleet, count, kShortPause);
  MeasureDeaths(fleet, count);
  MeasurePauses(fleet, count, kLongPause);
  MeasureLoss(fleet, 0.05);
  fleet.Advance(kObservationTime);
  MeasurePartition(fleet);
}

}  // namespace
}  // namespace daisywind

auto main(int argc, char** argv) -> int {
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  auto options = cxxopts::Options{"daisywind-measure-membership",
                                  "Measures the membership protocol"};
  options.add_options()(
      "nodes", "sizes of the fleet",
      cxxopts::value<std::vector<int>>()->default_value("8,50,200,860"))(
      "seed", "seed of the fleet",
      cxxopts::value<std::uint64_t>()->default_value("1"))("help", "this text");
  const auto arguments = options.parse(argc, argv);
  if (arguments.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  for (const auto count : arguments["nodes"].as<std::vector<int>>()) {
    daisywind::MeasureFleet(count, arguments["seed"].as<std::uint64_t>());
  }
  return 0;
}
