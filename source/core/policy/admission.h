// Admission control: refuses calls early that the endpoints could not serve in
// time.
#ifndef DAISYWIND_POLICY_ADMISSION_H_
#define DAISYWIND_POLICY_ADMISSION_H_

#include <cstdint>
#include <optional>

#include "policy/endpoint_table.h"
#include "policy/target_table.h"
#include "policy/types.h"

namespace daisywind::policy {

// Expected time that a call of this rank would wait in this gateway's queue.
// Assumes that the queues of all gateways are equally long.
auto ExpectedWait(const target_entry& target,
                  const endpoint_table& endpoints,
                  std::int32_t rank,
                  std::uint32_t gateways) -> seconds;

// Returns a refusal when no endpoint serves the target, when the queue is full,
// or when the call starts a program and would wait too long or finds all slots
// of the endpoints taken. The wait limit falls with a higher rank, so lower
// ranks are refused later.
auto Admit(const call_request& call,
           const target_entry& target,
           const endpoint_table& endpoints,
           std::int32_t rank,
           std::uint32_t gateways) -> std::optional<refusal>;

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_ADMISSION_H_
