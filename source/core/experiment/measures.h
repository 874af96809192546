// What a trial measured, and summaries of it.
#ifndef DAISYWIND_EXPERIMENT_MEASURES_H_
#define DAISYWIND_EXPERIMENT_MEASURES_H_

#include <compare>
#include <cstdint>
#include <vector>

#include "common/time.h"

namespace daisywind::experiment {

enum class program_outcome : std::uint8_t {
  kDone,
  // Never admitted, and the caller gave up.
  kRefused,
  // Ended by a failure that could not be retried or a refusal in its middle.
  kFailed,
  // Still running when the trial ended.
  kUnfinished,
};

// One program. Its latency runs from the time at which its caller first wanted
// to start it and leaves out only the caller's own pauses.
struct program_record {
  std::size_t class_index = 0;
  instant arrival;
  instant end;
  duration latency{0};
  // What the latency would be without any waiting.
  duration unloaded{0};
  program_outcome outcome = program_outcome::kUnfinished;
  bool is_measured = false;
  bool is_within_deadline = false;

  auto operator<=>(const program_record&) const = default;
};

struct trial_measures {
  std::vector<program_record> programs;
  double prompt_tokens = 0.0;
  double wasted_tokens = 0.0;
  double link_bytes = 0.0;
  std::uint64_t calls = 0;
  std::uint64_t refusals = 0;
  std::uint64_t retries = 0;
  // Refused calls that had reached an endpoint.
  std::uint64_t untruthful_refusals = 0;
  // Non-idempotent requests that ran more than once.
  std::uint64_t double_runs = 0;
  // Greatest number of calls at engines, running and queued, before and after
  // the first fault.
  std::uint32_t peak_before_fault = 0;
  std::uint32_t peak_after_fault = 0;

  auto operator<=>(const trial_measures&) const = default;
};

// Quantiles of the latency in seconds. Programs that failed or did not finish
// count as infinite; refused ones are left out and counted apart.
struct latency_summary {
  std::size_t programs = 0;
  double p50 = 0.0;
  double p95 = 0.0;
  double p99 = 0.0;

  auto operator<=>(const latency_summary&) const = default;
};

// Which programs a summary is over.
struct program_filter {
  // All classes when negative.
  int class_index = -1;
  instant from = instant::min();
  instant until = instant::max();
};

// Summarises the measured programs that arrived within the filter's bounds.
auto SummariseLatency(const std::vector<program_record>& programs,
                      const program_filter& filter) -> latency_summary;

// Summarises what the latencies would be without any waiting.
auto SummariseUnloaded(const std::vector<program_record>& programs)
    -> latency_summary;

// Measured programs of an outcome.
auto CountOutcome(const std::vector<program_record>& programs,
                  program_outcome outcome) -> std::size_t;

// Programs that ended within the time and within their deadlines, whenever they
// arrived. What is finished after the last arrivals does not count.
auto CountGood(const std::vector<program_record>& programs,
               instant from,
               instant until) -> std::size_t;

}  // namespace daisywind::experiment

#endif  // DAISYWIND_EXPERIMENT_MEASURES_H_
