// Runs the fault matrix of programs and prints a table of steps and faults.
#include <cxxopts.hpp>

#include <chrono>
#include <cstdint>
#include <iomanip>
#include <iostream>
#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "fault_matrix/matrix.h"
#include "fault_matrix/measure.h"

namespace {

using namespace daisywind::fault_matrix;

// Failed cases beyond this number are counted but not printed.
constexpr std::size_t kMaxPrintedFailedCases = 20;
constexpr int kStepWidth = 12;

// Number of cases and violations in one cell of the table.
struct cell {
  std::size_t cases = 0;
  std::size_t violations = 0;
};

// Totals of all cases, for the table and the summary.
struct totals {
  std::map<std::pair<call_step, fault_kind>, cell> cells;
  std::size_t cases = 0;
  std::size_t injected_faults = 0;
  std::size_t failed_cases = 0;
  std::size_t finished_programs = 0;
  // Cases with a refusal whose outcome is unknown.
  std::size_t with_unknown_outcome = 0;
};

auto ParseFault(const std::string& text) -> std::optional<planned_fault> {
  auto parts = std::istringstream{text};
  auto step = std::string{};
  auto fault = std::string{};
  auto occurrence = std::string{};
  std::getline(parts, step, ':');
  std::getline(parts, fault, ':');
  std::getline(parts, occurrence, ':');
  for (const auto known_step : AllSteps()) {
    for (const auto known_fault : AllFaults()) {
      if (NameOf(known_step) == step && NameOf(known_fault) == fault) {
        return planned_fault{
            known_step, known_fault,
            static_cast<std::uint32_t>(std::stoul(occurrence))};
      }
    }
  }
  return std::nullopt;
}

auto Add(const matrix_case& item, const case_result& result, totals& sums)
    -> void {
  ++sums.cases;
  sums.injected_faults += result.injected;
  sums.finished_programs += result.is_finished ? 1 : 0;
  sums.with_unknown_outcome += result.unknown != 0 ? 1 : 0;
  for (const auto& fault : item.faults) {
    auto& entry = sums.cells[{fault.step, fault.fault}];
    ++entry.cases;
    entry.violations += result.violations.size();
  }
  if (result.violations.empty()) {
    return;
  }
  if (++sums.failed_cases <= kMaxPrintedFailedCases) {
    std::cout << "violation: " << ToString(item) << "\n";
    for (const auto& broken : result.violations) {
      std::cout << "  " << NameOf(broken.guarantee) << ": " << broken.detail
                << "\n";
    }
  }
}

auto PrintTable(const totals& sums) -> void {
  std::cout << std::left << std::setw(24) << "fault";
  for (const auto step : AllSteps()) {
    std::cout << std::setw(kStepWidth) << NameOf(step);
  }
  std::cout << "\n";
  for (const auto fault : AllFaults()) {
    std::cout << std::setw(24) << NameOf(fault);
    for (const auto step : AllSteps()) {
      const auto found = sums.cells.find({step, fault});
      auto text = std::string{"-"};
      if (found != sums.cells.end()) {
        text = std::to_string(found->second.cases) + "/" +
               std::to_string(found->second.violations);
      }
      std::cout << std::setw(kStepWidth) << text;
    }
    std::cout << "\n";
  }
}

auto PrintMeasures(std::uint64_t seed) -> void {
  constexpr std::size_t kPrograms = 2000;
  constexpr std::size_t kCalls = 40000;
  std::cout << std::fixed << std::setprecision(2);
  for (const auto calls : {std::size_t{1}, std::size_t{20}}) {
    const auto memory = MeasureMemory(kPrograms, calls);
    std::cout << "bytes per program after " << calls << " chat calls: owner "
              << memory.owner_bytes << ", witness " << memory.witness_bytes
              << " (estimates " << memory.owner_estimate << ", "
              << memory.witness_estimate << ")\n";
  }
  for (const auto fault :
       {fault_kind::kOwnerDies, fault_kind::kOwnerPauses,
        fault_kind::kOwnerIsolated, fault_kind::kWitnessDies,
        fault_kind::kArbiterDies, fault_kind::kFailureDomainLost,
        fault_kind::kEndpointCrashes, fault_kind::kGracefulStop,
        fault_kind::kKeyValueDown}) {
    const auto result = MeasureRecovery(fault, seed);
    std::cout << "recovery from " << NameOf(fault) << ": median "
              << result.median.count() / 1000 << " ms, longest "
              << result.longest.count() / 1000 << " ms of " << result.cases
              << "\n";
  }
  for (const auto& cost : MeasureEvents(kCalls)) {
    std::cout << "processor time per call, " << cost.event_name << ": "
              << cost.microseconds_per_call << " us (" << cost.events
              << " events)\n";
  }
}

auto RunAll(const std::vector<matrix_case>& cases, totals& sums) -> void {
  const auto options = MatrixOptions();
  for (const auto& item : cases) {
    Add(item, RunCase(item, options), sums);
  }
}

auto RunOne(const cxxopts::ParseResult& arguments) -> int {
  auto item = matrix_case{};
  item.seed = arguments["seed"].as<std::uint64_t>();
  item.kind = arguments["scenario"].as<std::string>() == "loop"
                  ? scenario::kLoop
                  : scenario::kWorkflow;
  auto list = std::istringstream{arguments["faults"].as<std::string>()};
  for (auto text = std::string{}; std::getline(list, text, ',');) {
    const auto fault = ParseFault(text);
    if (!fault) {
      std::cerr
          << "expected step:fault:occurrence with a known step and fault, got: "
          << text << "\n";
      return 2;
    }
    item.faults.push_back(*fault);
  }
  const auto result = RunCase(item, MatrixOptions());
  for (const auto& event : result.events) {
    std::cout << ToString(event) << "\n";
  }
  for (const auto& broken : result.violations) {
    std::cout << NameOf(broken.guarantee) << ": " << broken.detail << "\n";
  }
  std::cout << "faults struck: " << result.injected << "\n";
  return result.violations.empty() ? 0 : 1;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  auto parser = cxxopts::Options("daisywind-fault-matrix",
                                 "Every fault at every step of a call");
  auto add = parser.add_options();
  add("seed", "Seed of all cases",
      cxxopts::value<std::uint64_t>()->default_value("1"));
  add("pairs", "Number of pairs to draw; 0 takes all pairs",
      cxxopts::value<std::size_t>()->default_value("500"));
  add("measure", "Measure memory, recovery and processor time");
  add("no-singles", "Skip the single faults");
  add("faults", "Run one case: step:fault:occurrence, separated by commas",
      cxxopts::value<std::string>());
  add("scenario", "Scenario of one case: workflow or loop",
      cxxopts::value<std::string>()->default_value("workflow"));
  add("help", "Print this text");
  const auto arguments = parser.parse(argc, argv);
  if (arguments.count("help") != 0) {
    std::cout << parser.help();
    return 0;
  }
  if (arguments.count("faults") != 0) {
    return RunOne(arguments);
  }
  const auto seed = arguments["seed"].as<std::uint64_t>();
  if (arguments.count("measure") != 0) {
    PrintMeasures(seed);
    return 0;
  }
  const auto begin = std::chrono::steady_clock::now();
  auto sums = totals{};
  if (arguments.count("no-singles") == 0) {
    RunAll(SingleFaultCases(seed), sums);
  }
  RunAll(FaultPairCases(seed, arguments["pairs"].as<std::size_t>()), sums);
  const auto seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - begin)
          .count();
  std::cout << "cells: cases/violations\n";
  PrintTable(sums);
  std::cout << "seed " << seed << ": " << sums.cases << " cases, "
            << sums.injected_faults << " faults struck, "
            << sums.finished_programs << " programs came to an end, "
            << sums.with_unknown_outcome << " cases with an unknown refusal, "
            << sums.failed_cases << " cases with violations, " << std::fixed
            << std::setprecision(1) << seconds << " s\n";
  return sums.failed_cases == 0 ? 0 : 1;
}
