// The end of a VM's role in a program that has moved elsewhere.
#ifndef DAISYWIND_PROGRAM_RETIRE_H_
#define DAISYWIND_PROGRAM_RETIRE_H_

#include "program/tables.h"

namespace daisywind::program {

// Sends waiting entry VMs to the new set and keeps the attempts that still run
// for a late report.
auto RetireCalls(system_tables& tables,
                 program_copy& copy,
                 const replica_set& replicas) -> void;

// The settlement of an attempt that has been answered.
auto SettlementOf(const live_key& key,
                  attempt_number attempt,
                  const digest& history,
                  std::size_t history_size,
                  const attempt_ended& ended,
                  std::string_view text) -> settlement;

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_RETIRE_H_
