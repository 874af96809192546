// Bounded buffer of log lines for standard output.
#ifndef DAISYWIND_COMMON_BOUNDED_LOG_H_
#define DAISYWIND_COMMON_BOUNDED_LOG_H_

#include <cstddef>
#include <cstdint>
#include <ctime>
#include <mutex>
#include <span>
#include <string>

#include "common/logging.h"

namespace daisywind {

// Renders one event as a JSON object without a line end. `time` is its first
// member.
auto RenderLogLine(const log_event& event,
                   std::span<const log_field> fields,
                   std::string_view time) -> std::string;

// Buffers lines up to a fixed size, so that a slow reader of standard output
// never blocks the process. Add and Flush may be called from several threads.
class bounded_log {
 public:
  // The log of this process.
  static auto Instance() -> bounded_log&;

  // Activates the log. Events below the threshold are discarded.
  auto Start(log_level threshold) -> void;
  [[nodiscard]] auto IsActive() const -> bool { return is_active_; }

  // Adds a line, or counts it as dropped when the buffer is full.
  auto Add(const log_event& event, std::span<const log_field> fields) -> void;

  // Writes as much as standard output accepts without blocking. When lines were
  // dropped since the last flush, logs their number first.
  auto Flush() -> void;

  // Number of lines dropped since the process started.
  [[nodiscard]] auto dropped() const -> std::uint64_t { return dropped_; }

 private:
  // The current UTC time in ISO 8601 format. The text up to the second is
  // cached, since most events share it with the event before.
  auto FormatCurrentTime() -> std::string_view;

  std::mutex mutex_;
  std::string pending_;
  std::string time_;
  std::time_t time_second_ = 0;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_dropped_ = 0;
  log_level threshold_ = log_level::kInfo;
  bool is_active_ = false;
};

}  // namespace daisywind

#endif  // DAISYWIND_COMMON_BOUNDED_LOG_H_
