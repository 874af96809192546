// Actions in the order of their time, under an injected clock.
#ifndef DAISYWIND_EXPERIMENT_EVENT_QUEUE_H_
#define DAISYWIND_EXPERIMENT_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "common/time.h"

namespace daisywind::experiment {

class event_queue {
 public:
  using action = std::function<void()>;

  // Runs an action at a time, after those added before for the same time. A
  // time in the past counts as now.
  auto At(instant at, action what) -> void;

  // Runs an action after a delay.
  auto After(duration delay, action what) -> void;

  // Runs the actions up to a time, or until none is left.
  auto RunUntil(instant end) -> void;

  [[nodiscard]] auto now() const -> instant { return now_; }
  [[nodiscard]] auto empty() const -> bool { return events_.empty(); }

 private:
  struct event {
    instant at;
    std::uint64_t sequence = 0;
    action what;
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
