// The cases of the matrix of steps and faults, and how they run.
#ifndef DAISYWIND_FAULT_MATRIX_MATRIX_H_
#define DAISYWIND_FAULT_MATRIX_MATRIX_H_

#include <cstdint>
#include <string>
#include <vector>

#include "fault_matrix/caller.h"
#include "fault_matrix/checker.h"
#include "fault_matrix/faults.h"
#include "program/program_options.h"

namespace daisywind::fault_matrix {

// One case: a seed, a scenario and the faults to inject.
struct matrix_case {
  std::uint64_t seed = 1;
  scenario kind = scenario::kWorkflow;
  std::vector<planned_fault> faults;

  auto operator<=>(const matrix_case&) const = default;
};

// Result of one case.
struct case_result {
  std::vector<violation> violations;
  std::vector<observed_event> events;
  // Faults whose step occurred, so that they were injected.
  std::size_t injected = 0;
  // Refusals with an unknown outcome.
  std::size_t unknown = 0;
  bool is_finished = false;
};

// Options with short time-outs, so that state expires within a run.
auto MatrixOptions() -> program::program_options;

// One case for each scenario, step, applicable fault and occurrence.
auto SingleFaultCases(std::uint64_t seed) -> std::vector<matrix_case>;

// Cases with two faults at random occurrences. With count 0, one case for each
// ordered pair of applicable combinations of step and fault; otherwise `count`
// random pairs.
auto FaultPairCases(std::uint64_t seed, std::size_t count)
    -> std::vector<matrix_case>;

// Runs a case in a simulated cluster and checks its history.
auto RunCase(const matrix_case& item, const program::program_options& options)
    -> case_result;

// The arguments with which daisywind-fault-matrix runs the case.
auto ToString(const matrix_case& item) -> std::string;

// One line of text for the event.
auto ToString(const observed_event& event) -> std::string;

}  // namespace daisywind::fault_matrix

#endif  // DAISYWIND_FAULT_MATRIX_MATRIX_H_
