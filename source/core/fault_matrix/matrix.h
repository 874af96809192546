// The matrix of steps and faults: its cases, their runs and the table.
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

// One run: a seed, a scenario and the faults that strike in it.
struct matrix_case {
  std::uint64_t seed = 1;
  scenario kind = scenario::kWorkflow;
  std::vector<planned_fault> faults;

  auto operator<=>(const matrix_case&) const = default;
};

// What a run gave.
struct case_result {
  std::vector<violation> violations;
  std::vector<observed_event> events;
  // Faults whose step was reached.
  std::size_t injected = 0;
  std::size_t unknown = 0;
  bool is_finished = false;
};

// Short periods, so that expiry comes within a run.
auto MatrixOptions() -> program::program_options;

// Every fault at every occurrence of every step in one run, alone.
auto SingleFaultCases(std::uint64_t seed) -> std::vector<matrix_case>;

// Pairs of faults at drawn occurrences. With count 0, all pairs of step and
// fault.
auto FaultPairCases(std::uint64_t seed, std::size_t count)
    -> std::vector<matrix_case>;

auto RunCase(const matrix_case& item, const program::program_options& options)
    -> case_result;

// One line that names a case, as the front end takes it.
auto ToString(const matrix_case& item) -> std::string;

// Renders a history for a reader.
auto ToString(const observed_event& event) -> std::string;

}  // namespace daisywind::fault_matrix

#endif  // DAISYWIND_FAULT_MATRIX_MATRIX_H_
