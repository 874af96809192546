#include "experiment/event_queue.h"

#include <algorithm>
#include <utility>

namespace daisywind::experiment {

auto event_queue::At(instant at, action callback) -> void {
  events_.push({std::max(at, now_), next_sequence_++, std::move(callback)});
}

auto event_queue::After(duration delay, action callback) -> void {
  At(now_ + delay, std::move(callback));
}

auto event_queue::RunUntil(instant end) -> void {
  while (!events_.empty() && events_.top().at <= end) {
    now_ = events_.top().at;
    const auto callback = events_.top().callback;
    events_.pop();
    callback();
  }
  now_ = std::max(now_, end);
}

}  // namespace daisywind::experiment
