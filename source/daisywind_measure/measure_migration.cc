// Measures whole moves in one process under an injected clock: how long they
// take and what they cost, against the number of endpoints.
#include <chrono>
#include <cstdio>
#include <cxxopts.hpp>
#include <iostream>
#include <vector>

#include "testing/fake_migration.h"

namespace daisywind {
namespace {

constexpr auto kBound = std::chrono::hours{4};
// The first version puts the old building in place.
constexpr auto kMoveVersion = version_number{2};

auto Seconds(duration time) -> double {
  return std::chrono::duration<double>(time).count();
}

auto IsProved(const testing::fake_move& move, version_number version) -> bool {
  const auto progress = move.Progress(move.Holder());
  return progress.version == version && progress.is_evacuation_complete;
}

auto Measure(int endpoints, std::uint32_t slots, int vms, std::uint64_t seed)
    -> void {
  auto shape = testing::move_shape{};
  shape.vms = vms;
  shape.old_endpoints = endpoints;
  shape.new_endpoints = endpoints;
  shape.need = static_cast<std::uint32_t>(endpoints) * 3 / 4;
  auto move = testing::fake_move{shape, seed};
  move.store.slots = slots;
  move.Advance(60s);
  const auto patched = move.now();
  const auto orders = move.order_count();
  const auto reads = move.read_count();
  const auto begin = std::chrono::steady_clock::now();
  move.PatchToNew();
  while (!IsProved(move, kMoveVersion) && move.now() < patched + kBound) {
    move.Advance(1s);
  }
  const auto taken = move.now() - patched;
  const auto spent =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - begin);
  std::printf(
      "%d endpoints to as many, need %u, %u transfers of 5 s at once, %d VMs: "
      "proved empty after %.0f s, %llu orders, %.1f reads/s a VM, %.2f %% of "
      "a core a VM with the fakes, violations %zu\n",
      endpoints, shape.need, slots, vms, Seconds(taken),
      static_cast<unsigned long long>(move.order_count() - orders),
      static_cast<double>(move.read_count() - reads) / vms / Seconds(taken),
      100 * spent.count() / vms / Seconds(taken),
      move.checker().violations().size());
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
