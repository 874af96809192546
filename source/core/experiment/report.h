// Renders the results of an experiment as tables, CSV and plots.
#ifndef DAISYWIND_EXPERIMENT_REPORT_H_
#define DAISYWIND_EXPERIMENT_REPORT_H_

#include <string>
#include <vector>

#include "experiment/result_table.h"
#include "experiment/specification.h"

namespace daisywind::experiment {

// Means over the seeds, one line for each load and policy.
auto RenderTable(const specification& experiment,
                 const std::vector<trial_row>& rows) -> std::string;

// The targets that the experiment's loads and faults allow to check, with their
// figures for the policy "daisywind".
auto RenderTargets(const specification& experiment,
                   const std::vector<trial_row>& rows) -> std::string;

// One line for each trial and class; the class "all" is over all programs.
auto RenderCsv(const specification& experiment,
               const std::vector<trial_row>& rows) -> std::string;

// A gnuplot script with its data, that writes `<name>.svg`.
auto RenderPlot(const specification& experiment,
                const std::vector<trial_row>& rows) -> std::string;

}  // namespace daisywind::experiment

#endif  // DAISYWIND_EXPERIMENT_REPORT_H_
