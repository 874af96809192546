// The log lines that wait for the reader of standard output.
#ifndef DAISYWIND_COMMON_BOUNDED_LOG_H_
#define DAISYWIND_COMMON_BOUNDED_LOG_H_

#include <cstddef>
#include <cstdint>
#include <ctime>
#include <initializer_list>
#include <mutex>
#include <string>

#include "common/logging.h"

namespace daisywind {

// Renders one event as a JSON object without a line end. `time` is put first.
auto RenderLogLine(const log_event& event,
                   std::initializer_list<log_field> fields,
                   std::string_view time) -> std::string;

// Keeps lines up to a bound. For use by several threads.
class bounded_log {
 public:
  // The log of this process.
  static auto Instance() -> bounded_log&;

  auto Start(log_level threshold) -> void;
  [[nodiscard]] auto IsActive() const -> bool { return is_active_; }

  // Adds a line, or counts it as dropped when the bound is reached.
  auto Add(const log_event& event, std::initializer_list<log_field> fields)
      -> void;

  // Writes what standard output takes without waiting.
  auto Flush() -> void;

  [[nodiscard]] auto dropped() const -> std::uint64_t { return dropped_; }

 private:
  auto Time() -> std::string_view;

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
