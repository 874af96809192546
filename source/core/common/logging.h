// Structured logs: each line is one numbered event with typed fields.
#ifndef DAISYWIND_COMMON_LOGGING_H_
#define DAISYWIND_COMMON_LOGGING_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include "common/log_events.h"

namespace daisywind {

// Layout of a log line.
enum class log_format : std::uint8_t { kJson, kText };

// One field of a log line. Fields never hold a secret or a caller's text.
struct log_field {
  std::string_view name;
  std::variant<std::string_view, std::int64_t, double, bool> value;
};

// Sends logs to standard error. Call once, before the first event.
auto StartLogging(log_format format, log_level threshold) -> void;

// Sends JSON logs to standard output without ever waiting for its reader: lines
// are kept up to a bound until FlushLogs, and what exceeds it is counted and
// dropped. Call once, before the first event.
auto StartBoundedLogging(log_level threshold) -> void;

// Writes as many kept lines as the reader of standard output takes at once.
auto FlushLogs() -> void;

// Lines dropped so far since the reader was too slow.
auto DroppedLogLines() -> std::uint64_t;

// Writes one event.
auto Log(const log_event& event, std::initializer_list<log_field> fields = {})
    -> void;

// Logs a broken invariant with its place in the source and ends the process.
[[noreturn]] auto AbortOnInvariantViolation(std::string_view condition,
                                            std::string_view file,
                                            int line) -> void;

}  // namespace daisywind

// Ends the process when a condition that the code guarantees does not hold.
#define DAISYWIND_ASSERT(condition)                                           \
  do {                                                                        \
    if (!(condition)) {                                                       \
      ::daisywind::AbortOnInvariantViolation(#condition, __FILE__, __LINE__); \
    }                                                                         \
  } while (false)

#endif  // DAISYWIND_COMMON_LOGGING_H_
