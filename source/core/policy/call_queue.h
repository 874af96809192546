// Queue of the calls that wait for an endpoint of one model or service, with
// fair sharing between organisations.
#ifndef DAISYWIND_POLICY_CALL_QUEUE_H_
#define DAISYWIND_POLICY_CALL_QUEUE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "policy/types.h"
#include "policy/units.h"

namespace daisywind::policy {

// Position of a call in its organisation's queue; lower values go first. The
// order contains the arrival time, so a call that has waited long enough goes
// before any new one and cannot starve.
struct queue_order {
  instant virtual_arrival;
  std::uint64_t sequence = 0;

  auto operator<=>(const queue_order&) const = default;
};

struct waiting_call {
  call_request request;
  std::int32_t rank = 0;
  instant arrived;
};

class call_queue {
 public:
  // Adds a call. If its organisation had no waiting calls, the weighted service
  // of the organisation is raised to the least of the others, so that it gains
  // no credit while idle.
  auto Add(const waiting_call& call, instant virtual_arrival) -> void;

  // Removes and returns a call, or returns nothing when it is not in this
  // queue.
  auto Remove(call_ref call) -> std::optional<waiting_call>;

  // The calls to dispatch next: at most `limit` of each organisation, starting
  // with the organisation that has received the least service relative to its
  // share.
  [[nodiscard]] auto Next(std::size_t limit) const
      -> std::vector<const waiting_call*>;

  // The waiting calls added since the last call of this function, in order of
  // arrival.
  auto TakeNew() -> std::vector<const waiting_call*>;

  // Adds engine time to an organisation's weighted service: the time divided by
  // its share.
  auto Charge(const organisation_id& organisation,
              seconds service,
              double share) -> void;

  // Number of waiting calls of this rank or a lower one.
  [[nodiscard]] auto CountUpTo(std::int32_t rank) const -> std::size_t;

  // Calls that arrived before `limit`.
  [[nodiscard]] auto ArrivedBefore(instant limit) const
      -> std::vector<call_ref>;

  [[nodiscard]] auto size() const -> std::size_t { return positions_.size(); }
  [[nodiscard]] auto empty() const -> bool { return positions_.empty(); }

 private:
  struct organisation_queue {
    double weighted_service = 0.0;
    std::map<queue_order, waiting_call> calls;
  };
  struct queue_position {
    organisation_id organisation;
    queue_order order;
  };

  [[nodiscard]] auto MinWeightedService() const -> double;

  std::map<organisation_id, organisation_queue> organisations_;
  std::map<call_ref, queue_position> positions_;
  std::map<std::int32_t, std::size_t> counts_;
  std::vector<call_ref> new_calls_;
  std::uint64_t next_sequence_ = 0;
};

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_CALL_QUEUE_H_
