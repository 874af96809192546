// The order of waiting calls and the priorities given to engines.
#ifndef DAISYWIND_POLICY_QUEUE_DISCIPLINE_H_
#define DAISYWIND_POLICY_QUEUE_DISCIPLINE_H_

#include <cstdint>

#include "policy/options.h"
#include "policy/types.h"

namespace daisywind::policy {

// Grows by one with each doubling of the service that a program has attained.
auto ServiceLevel(duration attained_service) -> std::int32_t;

// The time that stands for a call's arrival in the queue's order: later for
// higher ranks and for programs that have attained much service. Any call goes
// before all that arrive later by more than its handicap.
auto VirtualArrival(queueing_kind kind,
                    const call_request& call,
                    std::int32_t rank,
                    instant now) -> instant;

// The priority of a call at its engine. Equal for all calls when they are
// queued by arrival.
auto EnginePriority(queueing_kind kind,
                    const call_request& call,
                    std::int32_t rank) -> std::int32_t;

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_QUEUE_DISCIPLINE_H_
