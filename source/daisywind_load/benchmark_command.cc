#include <cxxopts.hpp>
#include <iostream>

#include "daisywind_load/commands.h"
#include "experiment/benchmark.h"

namespace daisywind {

auto RunBenchmarkCommand(int argc, char** argv) -> int {
  auto options = cxxopts::Options{"daisywind-load benchmark",
                                  "Measures the time of decisions"};
  options.add_options()("endpoints", "candidate endpoints",
                        cxxopts::value<std::size_t>()->default_value("1000"))(
      "steps", "steps to measure",
      cxxopts::value<std::size_t>()->default_value("20000"));
  const auto parsed = options.parse(argc, argv);
  const auto endpoints = parsed["endpoints"].as<std::size_t>();
  const auto times = experiment::MeasureDecisions(
      endpoints, parsed["steps"].as<std::size_t>());
  std::cout << "endpoints " << endpoints << ", decisions " << times.decisions
            << ": " << times.mean_per_decision << " us per decision; steps "
            << times.steps << ": mean " << times.mean_per_step << " us, p50 "
            << times.p50_per_step << " us, p99 " << times.p99_per_step
            << " us\n";
  return 0;
}

}  // namespace daisywind
