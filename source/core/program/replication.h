// Updates from the owner to the witness.
#ifndef DAISYWIND_PROGRAM_REPLICATION_H_
#define DAISYWIND_PROGRAM_REPLICATION_H_

#include <cstdint>

#include "program/tables.h"

namespace daisywind::program {

// True when the owner may record intents and refuse calls as not run.
auto MayAct(const program_copy& copy) -> bool;

// Applies an update at the owner and sends it to the witness. Returns its
// sequence.
auto Append(system_tables& tables, program_copy& copy, state_update update)
    -> std::uint64_t;

// True when the witness has recorded all updates up to a sequence.
auto IsRecorded(const program_copy& copy, std::uint64_t sequence) -> bool;

// Repeats updates that the witness has not acknowledged.
auto ResendUpdates(system_tables& tables, program_copy& copy) -> void;

// Witness: records an update.
auto OnRecordUpdate(system_tables& tables,
                    const vm_ref& from,
                    const record_update& update) -> void;

// Owner: goes on with what waited for the acknowledgement.
auto OnRecordAck(system_tables& tables, const record_ack& ack) -> void;

}  // namespace daisywind::program

#endif  // DAISYWIND_PROGRAM_REPLICATION_H_
