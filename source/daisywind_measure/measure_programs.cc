// Prints as CSV the memory, CPU time and takeover cost of programs at several
// sizes.
#include <array>
#include <cstddef>
#include <iostream>

#include "fault_matrix/measure.h"

namespace daisywind::fault_matrix {
namespace {

constexpr auto kProgramCounts =
    std::to_array<std::size_t>({1000, 2000, 4000, 8000});
constexpr auto kTurnCounts = std::to_array<std::size_t>({1, 8, 16, 32});
constexpr auto kCallCounts =
    std::to_array<std::size_t>({10'000, 20'000, 40'000, 80'000});
constexpr auto kProgramsPerTurnCount = std::size_t{1000};

auto PrintRow(const char* measure, std::size_t size, double value) -> void {
  std::cout << measure << ',' << size << ',' << value << '\n';
}

auto PrintMemoryByPrograms() -> void {
  for (const auto programs : kProgramCounts) {
    const auto memory = MeasureMemory(programs, 1);
    const auto count = static_cast<double>(programs);
    PrintRow("owner_bytes_by_programs", programs, memory.owner_bytes * count);
    PrintRow("witness_bytes_by_programs", programs,
             memory.witness_bytes * count);
  }
}

auto PrintMemoryByTurns() -> void {
  for (const auto turns : kTurnCounts) {
    const auto memory = MeasureMemory(kProgramsPerTurnCount, turns);
    PrintRow("owner_bytes_by_turns", turns, memory.owner_bytes);
    PrintRow("witness_bytes_by_turns", turns, memory.witness_bytes);
  }
}

auto PrintCalls() -> void {
  for (const auto calls : kCallCounts) {
    auto total = 0.0;
    for (const auto& cost : MeasureEvents(calls)) {
      total += cost.microseconds_per_call;
    }
    PrintRow("core_us_by_calls", calls, total * static_cast<double>(calls));
  }
}

auto PrintTakeovers() -> void {
  for (const auto programs : kProgramCounts) {
    const auto cost = MeasureTakeover(programs);
    PrintRow("takeover_ms_by_programs", programs, cost.milliseconds);
    PrintRow("takeover_messages_by_programs", programs,
             static_cast<double>(cost.messages));
    PrintRow("taken_over_by_programs", programs,
             static_cast<double>(cost.taken_over));
  }
}

}  // namespace
}  // namespace daisywind::fault_matrix

auto main() -> int {
  using namespace daisywind::fault_matrix;
  std::cout << "measure,size,value\n";
  PrintMemoryByPrograms();
  PrintMemoryByTurns();
  PrintCalls();
  PrintTakeovers();
  return 0;
}
