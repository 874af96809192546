#include "dispatch/waiting_line.h"

#include <algorithm>
#include <tuple>

namespace daisywind::dispatch {

auto waiting_line::Join(waiting_order order) -> std::optional<waiting_order> {
  if (waiting_.size() >= kMaxWaiting) {
    return std::nullopt;
  }
  order.sequence = ++last_sequence_;
  waiting_.insert(order);
  return order;
}

auto waiting_line::Leave(const waiting_order& position) -> void {
  waiting_.erase(position);
}

auto waiting_line::IsNext(const waiting_order& position) const -> bool {
  if (waiting_.empty()) {
    return true;
  }
  const auto& first = *waiting_.begin();
  // A new request has no sequence yet. It goes behind its equals.
  return position.sequence == 0
             ? std::tie(position.priority, position.deadline) <
                   std::tie(first.priority, first.deadline)
             : position <= first;
}

auto waiting_line::First() const -> std::optional<waiting_order> {
  return waiting_.empty() ? std::nullopt : std::optional(*waiting_.begin());
}

auto LongestWait(duration objective, duration time_left) -> duration {
  return std::max(std::min(objective / 4, time_left / 3), duration(0));
}

}  // namespace daisywind::dispatch
