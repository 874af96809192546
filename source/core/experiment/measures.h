// Measurements of a trial and summary statistics.
#ifndef DAISYWIND_EXPERIMENT_MEASURES_H_
#define DAISYWIND_EXPERIMENT_MEASURES_H_

#include <compare>
#include <cstdint>
#include <vector>

#include "common/time.h"

namespace daisywind::experiment {

enum class program_outcome : std::uint8_t {
  kDone,
  // Refused until the caller gave up, before any of its calls had
  // completed.
  kRefused,
  // A call failed and could not be retried, or the caller gave up on refusals
  // after earlier calls had completed.
  kFailed,
  // Still running when the trial ended.
  kUnfinished,
};

// Result of one program. The latency starts when the caller first tries to
// start the program and excludes only the caller's own pauses.
struct program_record {
  std::size_t class_index = 0;
  instant arrival;
  instant end;
  duration latency{0};
  // Latency of the same plan on an unloaded deployment.
  duration unloaded{0};
  program_outcome outcome = program_outcome::kUnfinished;
  // Whether the program arrived after the warm-up.
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
  // Refused non-idempotent calls that had already started on an endpoint. A
  // refusal promises that the call has not run.
  std::uint64_t untruthful_refusals = 0;
  // Repeated runs of non-idempotent requests.
  std::uint64_t double_runs = 0;
  // Maximum number of running and queued calls on all engines, within 30 s
  // before and within 30 s after the first fault.
  std::uint32_t peak_before_fault = 0;
  std::uint32_t peak_after_fault = 0;

  auto operator<=>(const trial_measures&) const = default;
};

// Latency quantiles in seconds. Programs that failed or did not finish count as
// infinite. Refused programs are excluded; see CountOutcome.
struct latency_summary {
  std::size_t programs = 0;
  double p50 = 0.0;
  double p95 = 0.0;
  double p99 = 0.0;

  auto operator<=>(const latency_summary&) const = default;
};

// Selects the programs of a summary by class and by time of arrival, with
// `until` excluded.
struct program_filter {
  // All classes when negative.
  int class_index = -1;
  instant from = instant::min();
  instant until = instant::max();
};

// Summarises the measured programs that match the filter.
auto SummariseLatency(const std::vector<program_record>& programs,
                      const program_filter& filter) -> latency_summary;

// Summarises the unloaded latencies of all measured programs.
auto SummariseUnloaded(const std::vector<program_record>& programs)
    -> latency_summary;

// Number of measured programs with an outcome.
auto CountOutcome(const std::vector<program_record>& programs,
                  program_outcome outcome) -> std::size_t;

// Number of programs that ended in [from, until) within their deadlines,
// whenever they arrived. Divided by the interval this is the goodput. Programs
// that end after the last arrivals are left out if `until` is the end of the
// arrivals.
auto CountGood(const std::vector<program_record>& programs,
               instant from,
               instant until) -> std::size_t;

}  // namespace daisywind::experiment

#endif  // DAISYWIND_EXPERIMENT_MEASURES_H_
