// Renders the results of an experiment as a table, CSV and plots.
#ifndef DAISYWIND_EXPERIMENT_REPORT_H_
#define DAISYWIND_EXPERIMENT_REPORT_H_

#include <string>
#include <vector>

#include "experiment/result_table.h"
#include "experiment/specification.h"

namespace daisywind::experiment {

// A text table of the means over the seeds, with one line for each load and
// policy.
auto RenderTable(const specification& experiment,
                 const std::vector<trial_row>& rows) -> std::string;

// Checks the performance targets of the policy "daisywind" that apply to the
// experiment's loads and faults. One line for each target, with the measured
// value, the bound and "met" or "MISSED".
auto RenderTargets(const specification& experiment,
                   const std::vector<trial_row>& rows) -> std::string;

// One line for each trial and class. The class "all" covers all programs.
auto RenderCsv(const specification& experiment,
               const std::vector<trial_row>& rows) -> std::string;

// A gnuplot script that includes its data and writes `<name>.svg`.
auto RenderPlot(const specification& experiment,
                const std::vector<trial_row>& rows) -> std::string;

}  // namespace daisywind::experiment

#endif  // DAISYWIND_EXPERIMENT_REPORT_H_
