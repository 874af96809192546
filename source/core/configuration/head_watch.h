// Tracks the head, the record of the newest version, in the key-value service:
// reads it at the start, and watches it if this VM is a watcher of its failure
// domain.
#ifndef DAISYWIND_CONFIGURATION_HEAD_WATCH_H_
#define DAISYWIND_CONFIGURATION_HEAD_WATCH_H_

#include <cstddef>
#include <optional>

#include "configuration/system_state.h"

namespace daisywind::configuration {

class head_watch {
 public:
  explicit head_watch(system_state& state) : state_(&state) {}

  auto HandleWatchEvent(const watch_event& input, instant now) -> void;
  auto HandleWatchLost(const watch_lost& input, instant now) -> void;

  // Stops the watch when this VM is no longer a watcher, and reads the head
  // when that is due. On a watcher, a successful read also starts the watch.
  auto Advance(instant now) -> void;

  // Schedules a read of the head at the given time, unless one is due earlier.
  auto ScheduleRead(instant at) -> void;

 private:
  auto StopWatch() -> void;
  [[nodiscard]] auto IsReadDue(instant now) const -> bool;
  auto ReadHead(instant now) -> void;
  auto HandleRead(const kv_result& result, instant sent_at, instant now)
      -> void;
  auto ProcessHead(const kv::txn_response& response, instant sent_at) -> void;

  system_state* state_;
  std::optional<watch_id> watch_;
  bool is_reading_ = false;
  instant next_read_at_;
  std::size_t consecutive_read_failures_ = 0;
};

}  // namespace daisywind::configuration

#endif  // DAISYWIND_CONFIGURATION_HEAD_WATCH_H_
