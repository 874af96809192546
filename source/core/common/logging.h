// Structured logging: each line is one numbered event with typed fields.
#ifndef DAISYWIND_COMMON_LOGGING_H_
#define DAISYWIND_COMMON_LOGGING_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "common/log_events.h"

namespace daisywind {

// Format of a log line.
enum class log_format : std::uint8_t { kJson, kText };

// One field of a log line. Fields must not contain secrets or text supplied by
// a caller.
struct log_field {
  std::string_view name;
  std::variant<std::string_view, std::int64_t, double, bool> value;
};

// Writes logs to standard error. Call once, before the first event.
auto StartLogging(log_format format, log_level threshold) -> void;

// Writes JSON logs to standard output without blocking on its reader: lines are
// buffered until FlushLogs, and lines beyond the capacity of the buffer are
// dropped and counted. Call once, before the first event.
auto StartBoundedLogging(log_level threshold) -> void;

// Writes as much of the buffer as standard output accepts without blocking.
// Has no effect without StartBoundedLogging.
auto FlushLogs() -> void;

// Number of lines dropped so far because standard output was read too slowly.
auto DroppedLogLines() -> std::uint64_t;

// Logs one event with the fields from `first` on. A pointer and a count: on
// arm64, clang 14 loses an array in a coroutine whose address it passes inside
// a struct, such as an initializer list or a span.
auto Log(const log_event& event, const log_field* first, std::size_t count)
    -> void;

inline auto Log(const log_event& event) -> void {
  Log(event, nullptr, 0);
}

// Logs one event with a braced list of fields.
template <std::size_t Count>
auto Log(const log_event& event, const log_field (&fields)[Count]) -> void {
  Log(event, fields, Count);
}

// Logs a violated invariant with its source location and aborts the process.
[[noreturn]] auto AbortOnInvariantViolation(std::string_view condition,
                                            std::string_view file,
                                            int line) -> void;

}  // namespace daisywind

// Aborts the process when an invariant does not hold, in release builds too.
#define DAISYWIND_ASSERT(condition)                                           \
  do {                                                                        \
    if (!(condition)) {                                                       \
      ::daisywind::AbortOnInvariantViolation(#condition, __FILE__, __LINE__); \
    }                                                                         \
  } while (false)

#endif  // DAISYWIND_COMMON_LOGGING_H_
