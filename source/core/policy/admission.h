// Early refusal of work that endpoints could not take in time.
#ifndef DAISYWIND_POLICY_ADMISSION_H_
#define DAISYWIND_POLICY_ADMISSION_H_

#include <cstdint>
#include <optional>

#include "policy/endpoint_table.h"
#include "policy/target_table.h"
#include "policy/types.h"

namespace daisywind::policy {

// Expected time that a call of this rank would wait in the gateway's queue when
// all gateways have queues alike.
auto ExpectedWait(const target_entry& target,
                  const endpoint_table& endpoints,
                  std::int32_t rank,
                  std::uint32_t gateways) -> seconds;

// Refuses a call when no endpoint offers its target, or when it starts a
// program and would wait too long or the endpoints have no free slot. Lower
// ranks are refused later.
auto Admit(const call_request& call,
           const target_entry& target,
           const endpoint_table& endpoints,
           std::int32_t rank,
           std::uint32_t gateways) -> std::optional<refusal>;

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_ADMISSION_H_
