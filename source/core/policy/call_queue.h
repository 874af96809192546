// Calls that wait for an endpoint of one model or service, by organisation.
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

// Place of a call in its organisation's queue: lower goes first. The arrival
// time is part of the order, so a call that has waited long enough goes before
// any new one.
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
  // Adds a call. An organisation that was idle starts level with the least
  // served.
  auto Add(const waiting_call& call, instant virtual_arrival) -> void;

  // Removes a call. Returns nothing when it is not here.
  auto Remove(call_ref call) -> std::optional<waiting_call>;

  // The next calls in order: first of the organisation that has been served
  // least for its share, at most `limit` of each organisation.
  [[nodiscard]] auto Next(std::size_t limit) const
      -> std::vector<const waiting_call*>;

  // The waiting calls that have been added since the last time, in that order.
  auto TakeFresh() -> std::vector<const waiting_call*>;

  // Charges engine time to an organisation, divided by its share.
  auto Charge(const organisation_id& organisation,
              seconds service,
              double share) -> void;

  // Waiting calls of this rank or a lower one.
  [[nodiscard]] auto CountUpTo(std::int32_t rank) const -> std::size_t;

  // Calls that have waited since before `limit`.
  [[nodiscard]] auto ArrivedBefore(instant limit) const
      -> std::vector<call_ref>;

  [[nodiscard]] auto size() const -> std::size_t { return places_.size(); }
  [[nodiscard]] auto empty() const -> bool { return places_.empty(); }

 private:
  struct organisation_queue {
    double served = 0.0;
    std::map<queue_order, waiting_call> calls;
  };
  struct place {
    organisation_id organisation;
    queue_order order;
  };

  [[nodiscard]] auto LeastServed() const -> double;

  std::map<organisation_id, organisation_queue> organisations_;
  std::map<call_ref, place> places_;
  std::map<std::int32_t, std::size_t> counts_;
  std::vector<call_ref> fresh_;
  std::uint64_t next_sequence_ = 0;
};

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_CALL_QUEUE_H_
