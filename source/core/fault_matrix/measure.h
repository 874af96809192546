// Measures the memory of programs, their recovery time and their processor time
// by kind of event.
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

// Heap bytes per program, and the estimates of the program system. The measured
// sum of owner and witness is split in proportion to the estimates. The
// estimate of the witness is the sum over all systems except the owner.
struct program_memory {
  double owner_bytes = 0;
  double witness_bytes = 0;
  double owner_estimate = 0;
  double witness_estimate = 0;
};

// How much longer a program takes with a fault than without.
struct recovery_time {
  fault_kind fault = fault_kind::kOwnerDies;
  std::size_t cases = 0;
  duration median{};
  duration longest{};
};

// Processor time for one kind of event, at the owner or at the other systems.
struct event_cost {
  std::string event_name;
  std::size_t events = 0;
  double microseconds_per_call = 0;
};

// Opens programs at one system with another as witness, settles chat calls in
// each of them, and measures the growth of the heap.
auto MeasureMemory(std::size_t programs, std::size_t calls) -> program_memory;

// Injects a fault at each occurrence of the step "send", one case each. Cases
// in which the program does not end are left out.
auto MeasureRecovery(fault_kind fault, std::uint64_t seed) -> recovery_time;

// Makes sequential chat calls through an entry VM, the owner and the witness.
auto MeasureEvents(std::size_t calls) -> std::vector<event_cost>;

// Cost of the takeover of all programs of a lost owner.
struct takeover_cost {
  std::size_t programs = 0;
  std::size_t taken_over = 0;
  // Messages between the remaining systems, and the time that all of them take
  // in one thread.
  std::size_t messages = 0;
  double milliseconds = 0;
};

// Opens programs at one system, their first owner, removes it, and runs the
// takeover by the others.
auto MeasureTakeover(std::size_t programs) -> takeover_cost;

}  // namespace daisywind::fault_matrix

#endif  // DAISYWIND_FAULT_MATRIX_MEASURE_H_
