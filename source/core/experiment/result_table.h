// The results of an experiment's trials and their means over the seeds.
#ifndef DAISYWIND_EXPERIMENT_RESULT_TABLE_H_
#define DAISYWIND_EXPERIMENT_RESULT_TABLE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "experiment/measures.h"
#include "experiment/specification.h"
#include "experiment/trial.h"

namespace daisywind::experiment {

// Metrics of one trial. refused_share and failed_share are fractions of the
// measured programs, wasted_share is a fraction of all prompt tokens.
struct trial_row {
  trial_choice choice;
  latency_summary all;
  std::vector<latency_summary> classes;
  // Unloaded latencies of the same programs.
  latency_summary unloaded;
  // Latencies of the same trial without faults. This is the baseline for
  // after_fault, because many programs that arrive before a fault end after it
  // and are affected by it.
  latency_summary without_fault;
  // Latencies of the programs that arrived at least 10 s after the first fault.
  latency_summary after_fault;
  // Goodput: programs that ended within their deadlines, per second.
  double good_programs_per_s = 0.0;
  double refused_share = 0.0;
  double failed_share = 0.0;
  double wasted_share = 0.0;
  double link_megabytes = 0.0;
  std::uint64_t refusals = 0;
  std::uint64_t retries = 0;
  std::uint64_t untruthful_refusals = 0;
  std::uint64_t double_runs = 0;
  // Maximum engine load within 30 s after the first fault, divided by the
  // maximum within 30 s before it.
  double peak_ratio = 0.0;
};

// Computes the metrics of a trial. The baseline without faults stays empty.
auto Summarise(const specification& experiment,
               const trial_choice& choice,
               const trial_measures& measures) -> trial_row;

// Runs all trials on `jobs` threads, at least one. The order of the rows does
// not depend on `jobs`.
auto RunAll(const specification& experiment, unsigned jobs)
    -> std::vector<trial_row>;

// Mean of a metric over the seeds, for one policy and load. Infinite if any
// value is infinite, 0 if there are no rows.
auto MeanOf(const std::vector<trial_row>& rows,
            const std::string& policy,
            double load,
            double (*metric)(const trial_row&)) -> double;

}  // namespace daisywind::experiment

#endif  // DAISYWIND_EXPERIMENT_RESULT_TABLE_H_
