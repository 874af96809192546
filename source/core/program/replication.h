// Replication of state updates from the owner to the witness.
#ifndef DAISYWIND_PROGRAM_REPLICATION_H_
#define DAISYWIND_PROGRAM_REPLICATION_H_

#include <cstdint>

#include "program/tables.h"

namespace daisywind::program {

// True when this VM is the active owner of the program in an open epoch. Only
// then may it record intents and refuse calls as not run.
auto MayAct(const program_copy& copy) -> bool;

// Applies an update at the owner and sends it to the witness. Returns the
// sequence number of the update.
auto Append(system_tables& tables, program_copy& copy, state_update update)
    -> std::uint64_t;

// True when the witness has recorded all updates up to and including
// `sequence`.
auto IsRecorded(const program_copy& copy, std::uint64_t sequence) -> bool;

// Resends the updates that the witness has not acknowledged.
auto ResendUpdates(system_tables& tables, program_copy& copy) -> void;

// Witness: applies an update and acknowledges all that are applied in sequence.
auto OnRecordUpdate(system_tables& tables,
                    const vm_ref& from,
                    const record_update& update) -> void;

// Owner: continues what waited for the acknowledged updates.
auto OnRecordAck(system_tables& tables, const record_ack& ack) -> void;

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_REPLICATION_H_
