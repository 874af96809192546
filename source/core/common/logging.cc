#include "common/logging.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <unistd.h>

#include <boost/json.hpp>
#include <cstdlib>
#include <memory>
#include <span>

#include "common/bounded_log.h"

namespace daisywind {
namespace {

auto ActiveFormat() -> log_format& {
  static auto format = log_format::kJson;
  return format;
}

auto ToLog4cxx(log_level level) -> log4cxx::LevelPtr {
  switch (level) {
    case log_level::kDebug:
      return log4cxx::Level::getDebug();
    case log_level::kInfo:
      return log4cxx::Level::getInfo();
    case log_level::kWarning:
      return log4cxx::Level::getWarn();
    case log_level::kError:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getError();
}

auto ToJson(const log_field& field) -> boost::json::value {
  return std::visit([](const auto& value) { return boost::json::value(value); },
                    field.value);
}

auto JsonLine(const log_event& event, std::span<const log_field> fields)
    -> std::string {
  auto line = boost::json::object{};
  line["event"] = event.number;
  line["subsystem"] = LoggerName(event.subsystem);
  line["level"] = LevelName(event.level);
  line["text"] = event.text;
  for (const auto& field : fields) {
    line[field.name] = ToJson(field);
  }
  return boost::json::serialize(line);
}

auto TextLine(const log_event& event, std::span<const log_field> fields)
    -> std::string {
  auto line = std::string(LevelName(event.level)) + " " +
              std::string(LoggerName(event.subsystem)) + " " +
              std::to_string(event.number) + " " + std::string(event.text);
  for (const auto& field : fields) {
    line += " " + std::string(field.name) + "=" +
            boost::json::serialize(ToJson(field));
  }
  return line;
}

// For JSON the layout writes the opening brace and the time as the first
// member; the message is the rest of the object.
auto Layout(log_format format) -> log4cxx::LayoutPtr {
  const auto* pattern = format == log_format::kJson
                            ? "{\"time\":\"%d{yyyy-MM-ddTHH:mm:ss.SSS}\",%m%n"
                            : "%d{HH:mm:ss.SSS} %m%n";
  return std::make_shared<log4cxx::PatternLayout>(pattern);
}

}  // namespace

auto StartLogging(log_format format, log_level threshold) -> void {
  ActiveFormat() = format;
  auto appender = std::make_shared<log4cxx::ConsoleAppender>(
      Layout(format), log4cxx::ConsoleAppender::getSystemErr());
  auto root = log4cxx::Logger::getRootLogger();
  root->removeAllAppenders();
  root->addAppender(appender);
  root->setLevel(ToLog4cxx(threshold));
}

auto Log(const log_event& event, const log_field* first, std::size_t count)
    -> void {
  const auto fields = std::span(first, count);
  if (auto& bounded = bounded_log::Instance(); bounded.IsActive()) {
    bounded.Add(event, fields);
    return;
  }
  auto logger =
      log4cxx::Logger::getLogger(std::string(LoggerName(event.subsystem)));
  const auto level = ToLog4cxx(event.level);
  if (!logger->isEnabledFor(level)) {
    return;
  }
  const auto line = ActiveFormat() == log_format::kJson
                        ? JsonLine(event, fields).substr(1)
                        : TextLine(event, fields);
  logger->forcedLog(level, line);
}

auto StartBoundedLogging(log_level threshold) -> void {
  bounded_log::Instance().Start(threshold);
}

auto FlushLogs() -> void {
  bounded_log::Instance().Flush();
}

auto DroppedLogLines() -> std::uint64_t {
  return bounded_log::Instance().dropped();
}

auto AbortOnInvariantViolation(std::string_view condition,
                               std::string_view file,
                               int line) -> void {
  Log(log_events::kInvariantBroken,
      {{"condition", condition}, {"file", file}, {"line", std::int64_t{line}}});
  FlushLogs();
  std::abort();
}

}  // namespace daisywind
