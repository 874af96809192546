// Measures programs: memory, time to recover and processor time by step.
#ifndef DAISYWIND_FAULT_MATRIX_MEASURE_H_
#define DAISYWIND_FAULT_MATRIX_MEASURE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/time.h"
#include "fault_matrix/faults.h"

namespace daisywind::fault_matrix {

// Heap bytes of one program, with what the system itself estimates.
struct program_memory {
  double owner_bytes = 0;
  double witness_bytes = 0;
  double owner_estimate = 0;
  double witness_estimate = 0;
};

// How much longer a program takes because of a fault.
struct recovery_time {
  fault_kind fault = fault_kind::kOwnerDies;
  std::size_t cases = 0;
  duration median{};
  duration longest{};
};

// Processor time of one kind of event at one role.
struct step_cost {
  std::string step;
  std::size_t events = 0;
  double microseconds_per_call = 0;
};

// Opens programs at one system with another as witness, each with settled chat
// calls, and measures the heap that each side takes.
auto MeasureMemory(std::size_t programs, std::size_t calls) -> program_memory;

// Runs a fault at every occurrence of the step "send".
auto MeasureRecovery(fault_kind fault, std::uint64_t seed) -> recovery_time;

// Makes chat calls one after the other through entry, owner and witness.
auto MeasureSteps(std::size_t calls) -> std::vector<step_cost>;

// What it takes to take over all programs of an owner that is lost.
struct takeover_cost {
  std::size_t programs = 0;
  std::size_t taken_over = 0;
  // Messages between the others, and processor time of all of them.
  std::size_t messages = 0;
  double milliseconds = 0;
};

// Opens programs at one system, takes it away, and lets the others take over.
auto MeasureTakeover(std::size_t programs) -> takeover_cost;

}  // namespace daisywind::fault_matrix

#endif  // DAISYWIND_FAULT_MATRIX_MEASURE_H_
