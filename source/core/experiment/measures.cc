#include "experiment/measures.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace daisywind::experiment {
namespace {

auto Matches(const program_record& record, const program_filter& filter)
    -> bool {
  const auto is_in_class =
      filter.class_index < 0 ||
      record.class_index == static_cast<std::size_t>(filter.class_index);
  return record.is_measured && is_in_class &&
         record.outcome != program_outcome::kRefused &&
         record.arrival >= filter.from && record.arrival < filter.until;
}

// Nearest-rank quantile of ascending values.
auto Quantile(const std::vector<double>& values, double fraction) -> double {
  if (values.empty()) {
    return 0.0;
  }
  const auto rank = std::ceil(fraction * static_cast<double>(values.size()));
  return values[static_cast<std::size_t>(std::max(1.0, rank)) - 1];
}

auto SummariseValues(std::vector<double>& values) -> latency_summary {
  constexpr auto kP50 = 0.5;
  constexpr auto kP95 = 0.95;
  constexpr auto kP99 = 0.99;
  std::ranges::sort(values);
  return {values.size(), Quantile(values, kP50), Quantile(values, kP95),
          Quantile(values, kP99)};
}

}  // namespace

auto SummariseLatency(const std::vector<program_record>& programs,
                      const program_filter& filter) -> latency_summary {
  auto values = std::vector<double>{};
  for (const auto& record : programs) {
    if (!Matches(record, filter)) {
      continue;
    }
    const auto seconds = std::chrono::duration<double>{record.latency}.count();
    values.push_back(record.outcome == program_outcome::kDone
                         ? seconds
                         : std::numeric_limits<double>::infinity());
  }
  return SummariseValues(values);
}

auto SummariseUnloaded(const std::vector<program_record>& programs)
    -> latency_summary {
  auto values = std::vector<double>{};
  for (const auto& record : programs) {
    if (record.is_measured) {
      values.push_back(std::chrono::duration<double>{record.unloaded}.count());
    }
  }
  return SummariseValues(values);
}

auto CountOutcome(const std::vector<program_record>& programs,
                  program_outcome outcome) -> std::size_t {
  return static_cast<std::size_t>(
      std::ranges::count_if(programs, [outcome](const auto& record) {
        return record.is_measured && record.outcome == outcome;
      }));
}

auto CountGood(const std::vector<program_record>& programs,
               instant from,
               instant until) -> std::size_t {
  return static_cast<std::size_t>(
      std::ranges::count_if(programs, [from, until](const auto& record) {
        return record.is_within_deadline && record.end >= from &&
               record.end < until;
      }));
}

}  // namespace daisywind::experiment
