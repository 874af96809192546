// The results of an experiment's trials and what they come to over the seeds.
#ifndef DAISYWIND_EXPERIMENT_RESULT_TABLE_H_
#define DAISYWIND_EXPERIMENT_RESULT_TABLE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "experiment/measures.h"
#include "experiment/specification.h"
#include "experiment/trial.h"

namespace daisywind::experiment {

// One trial in figures. Shares are of the measured programs or of all prompt
// tokens.
struct trial_row {
  trial_choice choice;
  latency_summary all;
  std::vector<latency_summary> classes;
  // Of the same programs without any waiting.
  latency_summary unloaded;
  // The same trial without faults; many programs that arrive before a fault
  // end after it, so they can't stand for the time before.
  latency_summary without_fault;
  // Programs that arrived from 10 s after the first fault on.
  latency_summary after_fault;
  double good_programs_per_s = 0.0;
  double refused_share = 0.0;
  double failed_share = 0.0;
  double wasted_share = 0.0;
  double link_megabytes = 0.0;
  std::uint64_t refusals = 0;
  std::uint64_t retries = 0;
  std::uint64_t untruthful_refusals = 0;
  std::uint64_t double_runs = 0;
  // Greatest engine load within 30 s after the first fault by that before it.
  double peak_ratio = 0.0;
};

// Figures of a trial.
auto Summarise(const specification& experiment,
               const trial_choice& choice,
               const trial_measures& measures) -> trial_row;

// Runs all trials, at most `jobs` at once, in an order of rows that does not
// depend on it.
auto RunAll(const specification& experiment, unsigned jobs)
    -> std::vector<trial_row>;

// Mean over the seeds of a member of the rows of one policy and load. Infinite
// when any of them is.
auto MeanOf(const std::vector<trial_row>& rows,
            const std::string& policy,
            double load,
            double (*figure)(const trial_row&)) -> double;

}  // namespace daisywind::experiment

#endif  // DAISYWIND_EXPERIMENT_RESULT_TABLE_H_
