#include "experiment/result_table.h"

#include <algorithm>
#include <atomic>
#include <thread>

#include "experiment/capacity.h"

namespace daisywind::experiment {
namespace {

// Programs that arrive within this time after a fault are excluded from
// after_fault.
constexpr auto kRecoveryTime = duration{10s};
constexpr auto kBytesPerMegabyte = 1e6;

auto Ratio(double numerator, double denominator) -> double {
  return denominator > 0.0 ? numerator / denominator : 0.0;
}

auto AddFaultMetrics(const specification& experiment,
                     const trial_measures& measures,
                     trial_row& row) -> void {
  if (experiment.faults.empty()) {
    return;
  }
  const auto at = instant{experiment.faults.front().at};
  row.after_fault = SummariseLatency(measures.programs,
                                     {-1, at + kRecoveryTime, instant::max()});
  row.peak_ratio = Ratio(measures.peak_after_fault, measures.peak_before_fault);
}

auto ListChoices(const specification& experiment) -> std::vector<trial_choice> {
  auto out = std::vector<trial_choice>{};
  for (const auto load : experiment.loads) {
    for (const auto& policy : experiment.policies) {
      for (const auto seed : experiment.seeds) {
        out.push_back({policy, load, seed});
      }
    }
  }
  return out;
}

}  // namespace

auto Summarise(const specification& experiment,
               const trial_choice& choice,
               const trial_measures& measures) -> trial_row {
  const auto& programs = measures.programs;
  auto row = trial_row{};
  row.choice = choice;
  row.all = SummariseLatency(programs, {});
  for (auto i = 0; i < std::ssize(experiment.deployment.classes); ++i) {
    row.classes.push_back(SummariseLatency(programs, {.class_index = i}));
  }
  row.unloaded = SummariseUnloaded(programs);
  AddFaultMetrics(experiment, measures, row);
  const auto refused = CountOutcome(programs, program_outcome::kRefused);
  const auto failed = CountOutcome(programs, program_outcome::kFailed);
  const auto total = static_cast<double>(row.all.programs + refused);
  const auto seconds =
      std::chrono::duration<double>{experiment.measured}.count();
  const auto from = instant{experiment.warm_up};
  const auto good = CountGood(programs, from, from + experiment.measured);
  row.good_programs_per_s = static_cast<double>(good) / seconds;
  row.refused_share = Ratio(static_cast<double>(refused), total);
  row.failed_share = Ratio(static_cast<double>(failed), total);
  row.wasted_share = Ratio(measures.wasted_tokens, measures.prompt_tokens);
  row.link_megabytes = measures.link_bytes / kBytesPerMegabyte;
  row.refusals = measures.refusals;
  row.retries = measures.retries;
  row.untruthful_refusals = measures.untruthful_refusals;
  row.double_runs = measures.double_runs;
  return row;
}

auto RunAll(const specification& experiment, unsigned jobs)
    -> std::vector<trial_row> {
  const auto choices = ListChoices(experiment);
  const auto capacity = CapacityOf(experiment.deployment);
  auto rows = std::vector<trial_row>(choices.size());
  auto without_faults = experiment;
  without_faults.faults.clear();
  auto next_index = std::atomic<std::size_t>{0};
  const auto run_trials = [&] {
    for (auto i = next_index++; i < choices.size(); i = next_index++) {
      const auto measures = RunTrial(experiment, choices[i], capacity);
      rows[i] = Summarise(experiment, choices[i], measures);
      if (!experiment.faults.empty()) {
        const auto fault_free = RunTrial(without_faults, choices[i], capacity);
        rows[i].without_fault = SummariseLatency(fault_free.programs, {});
      }
    }
  };
  auto threads = std::vector<std::thread>{};
  for (auto i = 0U; i < std::max(1U, jobs); ++i) {
    threads.emplace_back(run_trials);
  }
  for (auto& thread : threads) {
    thread.join();
  }
  return rows;
}

auto MeanOf(const std::vector<trial_row>& rows,
            const std::string& policy,
            double load,
            double (*metric)(const trial_row&)) -> double {
  auto sum = 0.0;
  auto count = 0.0;
  for (const auto& row : rows) {
    if (row.choice.policy == policy && row.choice.load == load) {
      sum += metric(row);
      count += 1.0;
    }
  }
  return Ratio(sum, count);
}

}  // namespace daisywind::experiment
