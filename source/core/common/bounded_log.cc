#include "common/bounded_log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cmath>

namespace daisywind {
namespace {

// Capacity of the buffer of lines that are not yet written. A line is dropped
// once the buffer has reached this size.
constexpr auto kMaxPendingBytes = std::size_t{256} * 1024;
// A write of at most this many bytes to a writable pipe does not block
// (PIPE_BUF).
constexpr auto kMaxWriteBytes = std::size_t{4096};
// Bounds the time that one flush takes.
constexpr auto kMaxWritesPerFlush = 16;
// JSON requires the characters below this one to be escaped.
constexpr auto kFirstPrintable = 0x20;

auto AppendJsonString(std::string& to, std::string_view text) -> void {
  constexpr auto kHex = std::string_view("0123456789abcdef");
  to += '"';
  for (const auto item : text) {
    const auto code = static_cast<unsigned char>(item);
    if (item == '"' || item == '\\') {
      to += '\\';
      to += item;
    } else if (code < kFirstPrintable) {
      to += "\\u00";
      to += kHex[code >> 4U];
      to += kHex[code & 0xFU];
    } else {
      to += item;
    }
  }
  to += '"';
}

template <class Number>
auto AppendNumber(std::string& to, Number value) -> void {
  auto digits = std::array<char, 32>{};
  const auto result =
      std::to_chars(digits.data(), digits.data() + digits.size(), value);
  to.append(digits.data(), result.ptr);
}

struct value_writer {
  std::string& to;

  auto operator()(std::string_view value) const -> void {
    AppendJsonString(to, value);
  }
  auto operator()(std::int64_t value) const -> void { AppendNumber(to, value); }
  auto operator()(double value) const -> void {
    if (std::isfinite(value)) {
      AppendNumber(to, value);
    } else {
      to += "null";
    }
  }
  auto operator()(bool value) const -> void { to += value ? "true" : "false"; }
};

}  // namespace

auto RenderLogLine(const log_event& event,
                   std::span<const log_field> fields,
                   std::string_view time) -> std::string {
  auto line = std::string(R"({"time":)");
  AppendJsonString(line, time);
  line += R"(,"event":)";
  AppendNumber(line, std::int64_t{event.number});
  line += R"(,"subsystem":)";
  AppendJsonString(line, LoggerName(event.subsystem));
  line += R"(,"level":)";
  AppendJsonString(line, LevelName(event.level));
  line += R"(,"text":)";
  AppendJsonString(line, event.text);
  for (const auto& field : fields) {
    line += ',';
    AppendJsonString(line, field.name);
    line += ':';
    std::visit(value_writer{line}, field.value);
  }
  line += '}';
  return line;
}

auto bounded_log::Instance() -> bounded_log& {
  static auto instance = bounded_log{};
  return instance;
}

auto bounded_log::Start(log_level threshold) -> void {
  threshold_ = threshold;
  is_active_ = true;
}

auto bounded_log::Add(const log_event& event, std::span<const log_field> fields)
    -> void {
  if (event.level < threshold_) {
    return;
  }
  const auto lock = std::lock_guard(mutex_);
  if (pending_.size() >= kMaxPendingBytes) {
    ++dropped_;
    return;
  }
  pending_ += RenderLogLine(event, fields, FormatCurrentTime());
  pending_ += '\n';
}

auto bounded_log::FormatCurrentTime() -> std::string_view {
  const auto now = std::chrono::system_clock::now();
  const auto second = std::chrono::system_clock::to_time_t(now);
  constexpr auto kSecondBytes = std::size_t{19};
  if (second != time_second_ || time_.empty()) {
    time_second_ = second;
    auto parts = std::tm{};
    ::gmtime_r(&second, &parts);
    auto text = std::array<char, 32>{};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    time_ = std::string(text.data(), kSecondBytes) + ".000Z";
  }
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          now.time_since_epoch())
          .count() %
      1000;
  time_[kSecondBytes + 1] = static_cast<char>('0' + milliseconds / 100);
  time_[kSecondBytes + 2] = static_cast<char>('0' + milliseconds / 10 % 10);
  time_[kSecondBytes + 3] = static_cast<char>('0' + milliseconds % 10);
  return time_;
}

auto bounded_log::Flush() -> void {
  const auto lock = std::lock_guard(mutex_);
  if (dropped_ > reported_dropped_) {
    const auto fields = std::to_array<log_field>(
        {{"lines", static_cast<std::int64_t>(dropped_ - reported_dropped_)}});
    pending_ += RenderLogLine(log_events::kLogLinesDropped, fields,
                              FormatCurrentTime());
    pending_ += '\n';
    reported_dropped_ = dropped_;
  }
  auto written = std::size_t{0};
  for (auto i = 0; i < kMaxWritesPerFlush && written < pending_.size(); ++i) {
    auto output = pollfd{STDOUT_FILENO, POLLOUT, 0};
    if (::poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0) {
      break;
    }
    const auto size = std::min(kMaxWriteBytes, pending_.size() - written);
    const auto result = ::write(STDOUT_FILENO, pending_.data() + written, size);
    if (result <= 0) {
      break;
    }
    written += static_cast<std::size_t>(result);
  }
  pending_.erase(0, written);
}

}  // namespace daisywind
