// The measurements of a load run and their JSON report.
#ifndef DAISYWIND_LOAD_LOAD_REPORT_H_
#define DAISYWIND_LOAD_LOAD_REPORT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/json.h"
#include "common/time.h"
#include "load/call_client.h"
#include "load/program_runner.h"

namespace daisywind::load {

// The percentile of a set of times by the nearest-rank method; zero for an
// empty set. The fraction is in (0, 1].
auto Percentile(std::vector<duration> times, double fraction) -> duration;

class load_report {
 public:
  // Maximum number of unfinished programs that the report lists individually.
  static constexpr std::size_t kMaxListedUnfinished = 50;

  // Maximum number of slowest programs that the report lists individually.
  static constexpr std::size_t kMaxListedSlowest = 10;

  explicit load_report(std::string organisation)
      : organisation_(std::move(organisation)) {}

  auto RecordStart() -> void { ++started_; }

  // Records a program that ended. The latency is measured from its intended
  // start, the time of its end from the start of the run.
  auto RecordEnd(const program_plan& plan,
                 const program_result& result,
                 duration latency,
                 duration ended_at) -> void;

  [[nodiscard]] auto CountOf(program_status status) const -> std::int64_t;

  // The complete report. Latencies are in milliseconds.
  [[nodiscard]] auto ToJson(const client_counts& counts) const -> json::object;

 private:
  [[nodiscard]] auto Programs() const -> json::object;
  [[nodiscard]] auto Latencies() const -> json::object;
  [[nodiscard]] auto Tokens() const -> json::object;
  [[nodiscard]] auto ServiceKeys() const -> json::object;
  [[nodiscard]] auto Slowest() const -> json::array;

  struct slow_program {
    std::size_t index = 0;
    std::string class_name;
    duration latency{};
    slow_call slowest;
  };

  auto AddIfSlow(slow_program item) -> void;

  std::string organisation_;
  std::int64_t started_ = 0;
  std::map<program_status, std::int64_t> ended_;
  std::map<std::string, std::vector<duration>> latencies_by_class_;
  std::map<std::int64_t, std::int64_t> finished_by_second_;
  std::map<call_status, std::vector<std::string>> service_keys_;
  token_counts tokens_;
  std::int64_t calls_ = 0;
  json::array unfinished_;
  // Slowest first.
  std::vector<slow_program> slow_programs_;
};

}  // namespace daisywind::load

#endif  // DAISYWIND_LOAD_LOAD_REPORT_H_
