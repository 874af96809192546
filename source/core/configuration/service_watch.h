// Follows the head in the key-value service: reads it at the start, and
// watches it where this VM is a watcher of its failure domain.
#ifndef DAISYWIND_CONFIGURATION_SERVICE_WATCH_H_
#define DAISYWIND_CONFIGURATION_SERVICE_WATCH_H_

#include <cstddef>
#include <optional>

#include "configuration/system_state.h"

namespace daisywind::configuration {

class service_watch {
 public:
  explicit service_watch(system_state& state) : state_(&state) {}

  auto HandleWatchEvent(const watch_event& happened, instant now) -> void;
  auto HandleWatchLost(const watch_lost& happened, instant now) -> void;

  // Starts and stops the watch, and reads the head when it is due.
  auto Advance(instant now) -> void;

  // Has the head read again soon.
  auto ReadSoon(instant at) -> void;

 private:
  auto StopWatch() -> void;
  [[nodiscard]] auto IsReadDue(instant now) const -> bool;
  auto ReadHead(instant now) -> void;
  auto HandleRead(const kv_result& result, instant sent_at, instant now)
      -> void;
  auto TakeRead(const kv::txn_response& response, instant sent_at) -> void;

  system_state* state_;
  std::optional<watch_id> watch_;
  bool is_reading_ = false;
  instant next_read_at_;
  std::size_t failures_ = 0;
};

}  // namespace daisywind::configuration

#endif  // DAISYWIND_CONFIGURATION_SERVICE_WATCH_H_
