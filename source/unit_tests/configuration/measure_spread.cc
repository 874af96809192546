// Measures the distribution of versions in a simulated fleet of configuration
// systems: latency, messages, bytes, service calls and processor time. Built
// and run by tools/measure-spread.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <string>
#include <vector>

#include "configuration_wire/codec.h"
#include "fake_fleet.h"
#include "sample_document.h"

namespace daisywind::configuration {
namespace {

constexpr auto kLinkDelay = duration(20ms);
constexpr auto kWarmUp = duration(30s);
constexpr auto kSpreadTimeout = duration(60s);
// 13,000 changes a day.
constexpr auto kPatchInterval = duration(6650ms);

struct parameters {
  std::size_t nodes = 8;
  std::size_t domains = 3;
  std::size_t endpoints = 100;
  std::size_t patches = 20;
};

// Messages and bytes sent by one node.
struct traffic {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

auto Seconds(duration time) -> double {
  return std::chrono::duration<double>(time).count();
}

auto ProcessorSeconds() -> double {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

auto PatchText(std::size_t endpoint, std::size_t capacity) -> std::string {
  return R"({"endpoints":{"engine-)" + std::to_string(endpoint) +
         R"(":{"capacity":)" + std::to_string(capacity) + "}}}";
}

// Sends one patch and returns the seconds until all nodes have installed it.
auto MeasureOnePatch(fake_fleet& fleet,
                     const parameters& config,
                     std::size_t round) -> double {
  const auto base = fleet.At(0).system->Number();
  const auto node = round * 7 % config.nodes;
  const auto patch = PatchText(round * 131 % config.endpoints, 10 + round % 50);
  const auto before = fleet.Now();
  const auto result =
      fleet.PatchAndWait(node, base, "p" + std::to_string(round), patch);
  if (!std::holds_alternative<patch_accepted>(result)) {
    std::puts("a patch was not accepted");
    std::exit(1);
  }
  const auto is_done =
      fleet.RunUntil([&] { return fleet.AllHave(base + 1); }, kSpreadTimeout);
  if (!is_done) {
    std::puts("a version did not reach every node");
    std::exit(1);
  }
  const auto taken = fleet.Now() - before;
  fleet.Run(std::max(duration(0), kPatchInterval - taken));
  return Seconds(taken);
}

auto Print(const parameters& config,
           const std::vector<double>& times,
           const std::vector<traffic>& sent,
           const configuration_counters& calls,
           double simulated_seconds,
           double processor_seconds) -> void {
  auto sum = traffic{};
  auto most = std::uint64_t{0};
  for (const auto& item : sent) {
    sum.messages += item.messages;
    sum.bytes += item.bytes;
    most = std::max(most, item.bytes);
  }
  const auto node_seconds =
      simulated_seconds * static_cast<double>(config.nodes);
  auto sorted = times;
  std::sort(sorted.begin(), sorted.end());
  std::printf(
      "nodes %zu domains %zu endpoints %zu patches %zu: spread s median %.2f "
      "max %.2f; per node: messages/s %.2f bytes/s %.0f (most %.0f), core "
      "%.3f %%; service: reads/s %.2f writes/s %.2f watches %llu\n",
      config.nodes, config.domains, config.endpoints, config.patches,
      sorted[sorted.size() / 2], sorted.back(),
      static_cast<double>(sum.messages) / node_seconds,
      static_cast<double>(sum.bytes) / node_seconds,
      static_cast<double>(most) / simulated_seconds,
      100 * processor_seconds / node_seconds,
      static_cast<double>(calls.kv_reads) / simulated_seconds,
      static_cast<double>(calls.kv_writes) / simulated_seconds,
      static_cast<unsigned long long>(calls.kv_watches));
}

auto Measure(const parameters& config) -> void {
  auto fleet = fake_fleet(config.nodes, config.domains, 1);
  fleet.faults.peer_delay = kLinkDelay;
  fleet.faults.service_delay = kLinkDelay;
  fleet.Initialize(LargeDocument(config.endpoints));
  fleet.StartAll();
  fleet.Run(kWarmUp);
  auto sent = std::vector<traffic>(config.nodes);
  fleet.on_message = [&](std::size_t from, const message& content) {
    sent[from].messages += 1;
    sent[from].bytes += EncodeMessage(content).size();
  };
  const auto calls_before = fleet.Counters();
  const auto began_at = fleet.Now();
  const auto processor_before = ProcessorSeconds();
  auto times = std::vector<double>{};
  for (auto round = std::size_t{0}; round < config.patches; ++round) {
    times.push_back(MeasureOnePatch(fleet, config, round));
  }
  auto calls = fleet.Counters();
  calls.kv_reads -= calls_before.kv_reads;
  calls.kv_writes -= calls_before.kv_writes;
  Print(config, times, sent, calls, Seconds(fleet.Now() - began_at),
        ProcessorSeconds() - processor_before);
}

}  // namespace
}  // namespace daisywind::configuration

auto main(int argc, char** argv) -> int {
  auto config = daisywind::configuration::parameters{};
  const auto read = [&](int place, std::size_t& value) {
    value = argc > place ? std::strtoul(argv[place], nullptr, 10) : value;
  };
  read(1, config.nodes);
  read(2, config.domains);
  read(3, config.endpoints);
  read(4, config.patches);
  daisywind::configuration::Measure(config);
  return 0;
}
