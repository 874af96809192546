// Event queue of the discrete-event simulation.
#ifndef DAISYWIND_EXPERIMENT_EVENT_QUEUE_H_
#define DAISYWIND_EXPERIMENT_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "common/time.h"

namespace daisywind::experiment {

// Holds actions ordered by time and advances the simulated clock.
class event_queue {
 public:
  using action = std::function<void()>;

  // Schedules an action. Actions for the same time run in the order in which
  // they were scheduled. A time in the past counts as now.
  auto At(instant at, action callback) -> void;

  // Schedules an action after a delay.
  auto After(duration delay, action callback) -> void;

  // Runs all actions up to and including `end`, including those scheduled
  // meanwhile, and advances the clock to `end`.
  auto RunUntil(instant end) -> void;

  [[nodiscard]] auto now() const -> instant { return now_; }
  [[nodiscard]] auto empty() const -> bool { return events_.empty(); }

 private:
  struct event {
    instant at;
    std::uint64_t sequence = 0;
    action callback;
  };
  struct is_later {
    auto operator()(const event& a, const event& b) const -> bool {
      return a.at != b.at ? a.at > b.at : a.sequence > b.sequence;
    }
  };

  std::priority_queue<event, std::vector<event>, is_later> events_;
  instant now_;
  std::uint64_t next_sequence_ = 0;
};

}  // namespace daisywind::experiment

#endif  // DAISYWIND_EXPERIMENT_EVENT_QUEUE_H_
