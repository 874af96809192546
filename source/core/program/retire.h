// Cleanup at an owner that has been replaced by a new replica set.
#ifndef DAISYWIND_PROGRAM_RETIRE_H_
#define DAISYWIND_PROGRAM_RETIRE_H_

#include "program/tables.h"

namespace daisywind::program {

// Redirects the waiting entry VMs to the new replica set, and keeps the
// attempts whose results must be reported to the new owner.
auto RetireCalls(system_tables& tables,
                 program_copy& copy,
                 const replica_set& replicas) -> void;

// Makes the settlement of an answered attempt. `history_digest` and
// `history_size` are those of the request, and `text` is the streamed text,
// empty for other calls.
auto SettlementOf(const live_key& key,
                  attempt_number attempt,
                  const digest& history_digest,
                  std::size_t history_size,
                  const attempt_ended& ended,
                  std::string_view text) -> settlement;

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_RETIRE_H_
