// Queueing discipline: the order of waiting calls and their priorities at the
// engines.
#ifndef DAISYWIND_POLICY_QUEUE_DISCIPLINE_H_
#define DAISYWIND_POLICY_QUEUE_DISCIPLINE_H_

#include <cstdint>

#include "policy/options.h"
#include "policy/types.h"

namespace daisywind::policy {

// Level of a program by its attained service, as in a multilevel feedback
// queue: rises by one with each doubling of the attained service.
auto ServiceLevel(duration attained_service) -> std::int32_t;

// Sort key of a call in the queue: its arrival time, plus a penalty for a
// higher rank and for the attained service of its program. The penalty is
// bounded, so any call goes before all calls that arrive later by more than its
// penalty.
auto VirtualArrival(queueing_kind kind,
                    const call_request& call,
                    std::int32_t rank,
                    instant now) -> instant;

// The priority of a call at its engine; lower values go first. The same for all
// calls under kFirstComeFirstServed.
auto EnginePriority(queueing_kind kind,
                    const call_request& call,
                    std::int32_t rank) -> std::int32_t;

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_QUEUE_DISCIPLINE_H_
