// Measures simulated migrations between two sites in one process: their
// duration and cost by the number of endpoints.
#include <chrono>
#include <cstdio>
#include <cxxopts.hpp>
#include <iostream>
#include <vector>

#include "testing/fake_migration.h"

namespace daisywind {
namespace {

constexpr auto kTimeout = std::chrono::hours{4};
// Version 1 is the initial configuration in which the old endpoints serve.
constexpr auto kMigrationVersion = version_number{2};

auto Seconds(duration time) -> double {
  return std::chrono::duration<double>(time).count();
}

auto IsEvacuated(const testing::fake_migration& simulation,
                 version_number version) -> bool {
  const auto progress = simulation.Progress(simulation.LeaseHolder());
  return progress.version == version && progress.is_evacuation_complete;
}

auto Measure(int endpoints, std::uint32_t slots, int vms, std::uint64_t seed)
    -> void {
  auto setup = testing::migration_setup{};
  setup.vms = vms;
  setup.old_endpoints = endpoints;
  setup.new_endpoints = endpoints;
  setup.need = static_cast<std::uint32_t>(endpoints) * 3 / 4;
  auto simulation = testing::fake_migration{setup, seed};
  simulation.store.slots = slots;
  simulation.Advance(60s);
  const auto patched_at = simulation.now();
  const auto orders = simulation.order_count();
  const auto reads = simulation.read_count();
  const auto begin = std::chrono::steady_clock::now();
  simulation.PatchToNew();
  while (!IsEvacuated(simulation, kMigrationVersion) &&
         simulation.now() < patched_at + kTimeout) {
    simulation.Advance(1s);
  }
  const auto taken = simulation.now() - patched_at;
  const auto wall_time =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - begin);
  std::printf(
      "%d endpoints to as many, need %u, %u transfers of 5 s at once, %d VMs: "
      "proved empty after %.0f s, %llu orders, %.1f reads/s a VM, %.2f %% of "
      "a core a VM with the fakes, violations %zu\n",
      endpoints, setup.need, slots, vms, Seconds(taken),
      static_cast<unsigned long long>(simulation.order_count() - orders),
      static_cast<double>(simulation.read_count() - reads) / vms /
          Seconds(taken),
      100 * wall_time.count() / vms / Seconds(taken),
      simulation.checker().violations().size());
}

}  // namespace
}  // namespace daisywind

auto main(int argc, char** argv) -> int {
  auto options = cxxopts::Options{"daisywind-measure-migration",
                                  "Measures moves between two buildings"};
  options.add_options()(
      "endpoints", "numbers of endpoints to move",
      cxxopts::value<std::vector<int>>()->default_value("4,16,32,128"))(
      "slots", "transfers that the weight store runs at once",
      cxxopts::value<std::vector<std::uint32_t>>()->default_value("2,4"))(
      "vms", "number of entry VMs", cxxopts::value<int>()->default_value("3"))(
      "seed", "seed of the move",
      cxxopts::value<std::uint64_t>()->default_value("1"))("help", "this text");
  const auto arguments = options.parse(argc, argv);
  if (arguments.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  for (const auto count : arguments["endpoints"].as<std::vector<int>>()) {
    for (const auto slots :
         arguments["slots"].as<std::vector<std::uint32_t>>()) {
      daisywind::Measure(count, slots, arguments["vms"].as<int>(),
                         arguments["seed"].as<std::uint64_t>());
    }
  }
  return 0;
}
