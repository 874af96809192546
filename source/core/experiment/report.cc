#include "experiment/report.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

#include "experiment/capacity.h"

namespace daisywind::experiment {
namespace {

constexpr auto kPercent = 100.0;
constexpr auto kNameWidth = 15;
constexpr auto kWidth = 11;

struct column {
  std::string_view title;
  double (*metric)(const trial_row&);
};

auto TableColumns() -> std::vector<column> {
  return {
      {"p50 s", [](const trial_row& row) { return row.all.p50; }},
      {"p95 s", [](const trial_row& row) { return row.all.p95; }},
      {"p99 s", [](const trial_row& row) { return row.all.p99; }},
      {"good/s", [](const trial_row& row) { return row.good_programs_per_s; }},
      {"refused %",
       [](const trial_row& row) { return kPercent * row.refused_share; }},
      {"failed %",
       [](const trial_row& row) { return kPercent * row.failed_share; }},
      {"wasted %",
       [](const trial_row& row) { return kPercent * row.wasted_share; }},
      {"link MB", [](const trial_row& row) { return row.link_megabytes; }},
  };
}

auto ClassP95(const std::vector<trial_row>& rows,
              const trial_choice& choice,
              std::size_t class_index) -> double {
  auto sum = 0.0;
  auto count = 0.0;
  for (const auto& row : rows) {
    if (row.choice.policy == choice.policy && row.choice.load == choice.load) {
      sum += row.classes[class_index].p95;
      count += 1.0;
    }
  }
  return count > 0.0 ? sum / count : 0.0;
}

// Appends the unloaded latencies, which are a lower bound for every policy.
auto AppendUnloaded(std::ostream& out,
                    const specification& experiment,
                    const std::vector<trial_row>& rows,
                    double load) -> void {
  const auto& policy = experiment.policies.front();
  out << std::setw(kNameWidth) << "(unloaded)" << std::setw(kWidth) << load
      << std::setw(kWidth)
      << MeanOf(rows, policy, load,
                [](const trial_row& row) { return row.unloaded.p50; })
      << std::setw(kWidth)
      << MeanOf(rows, policy, load,
                [](const trial_row& row) { return row.unloaded.p95; })
      << std::setw(kWidth)
      << MeanOf(rows, policy, load,
                [](const trial_row& row) { return row.unloaded.p99; })
      << '\n';
}

auto AppendLatency(std::ostream& out, const latency_summary& item) -> void {
  out << ',' << item.programs << ',' << item.p50 << ',' << item.p95 << ','
      << item.p99;
}

auto AppendCsvRow(std::ostream& out,
                  const trial_row& row,
                  const std::string& name,
                  const latency_summary& latency) -> void {
  out << row.choice.policy << ',' << row.choice.load << ',' << row.choice.seed
      << ',' << name;
  AppendLatency(out, latency);
  out << ',' << row.good_programs_per_s << ',' << row.refused_share << ','
      << row.failed_share << ',' << row.wasted_share << ','
      << row.link_megabytes << ',' << row.refusals << ',' << row.retries << ','
      << row.untruthful_refusals << ',' << row.double_runs << ','
      << row.peak_ratio << ',' << row.without_fault.p95 << ','
      << row.after_fault.p95 << '\n';
}

auto AppendSeries(std::ostream& out,
                  const specification& experiment,
                  const std::vector<trial_row>& rows,
                  const std::string& policy) -> void {
  out << '$' << policy << " << EOD\n";
  for (const auto load : experiment.loads) {
    const auto p95 = MeanOf(rows, policy, load,
                            [](const trial_row& row) { return row.all.p95; });
    const auto p50 = MeanOf(rows, policy, load,
                            [](const trial_row& row) { return row.all.p50; });
    const auto wasted = MeanOf(rows, policy, load, [](const trial_row& row) {
      return kPercent * row.wasted_share;
    });
    out << load << ' ' << p50 << ' ' << p95 << ' ' << wasted << '\n';
  }
  out << "EOD\n";
}

auto AppendPanel(std::ostream& out,
                 const specification& experiment,
                 std::string_view title,
                 int value_column) -> void {
  out << "set title '" << title << "'\nplot ";
  for (const auto& policy : experiment.policies) {
    out << (policy == experiment.policies.front() ? "" : ", ") << '$' << policy
        << " using 1:" << value_column << " with linespoints title '" << policy
        << "' noenhanced";
  }
  out << '\n';
}

}  // namespace

auto RenderTable(const specification& experiment,
                 const std::vector<trial_row>& rows) -> std::string {
  const auto columns = TableColumns();
  auto out = std::ostringstream{};
  out << std::fixed << std::setprecision(2);
  out << experiment.name << ": capacity " << CapacityOf(experiment.deployment)
      << " programs/s, " << experiment.seeds.size() << " seeds\n";
  out << std::setw(kNameWidth) << "policy" << std::setw(kWidth) << "load";
  for (const auto& item : columns) {
    out << std::setw(kWidth) << item.title;
  }
  for (const auto& class_config : experiment.deployment.classes) {
    out << ' ' << class_config.name << " p95";
  }
  out << '\n';
  for (const auto load : experiment.loads) {
    for (const auto& policy : experiment.policies) {
      out << std::setw(kNameWidth) << policy << std::setw(kWidth) << load;
      for (const auto& item : columns) {
        out << std::setw(kWidth) << MeanOf(rows, policy, load, item.metric);
      }
      for (auto i = std::size_t{0}; i < experiment.deployment.classes.size();
           ++i) {
        out << std::setw(kWidth) << ClassP95(rows, {policy, load, 0}, i);
      }
      out << '\n';
    }
    AppendUnloaded(out, experiment, rows, load);
  }
  return out.str();
}

auto RenderCsv(const specification& experiment,
               const std::vector<trial_row>& rows) -> std::string {
  auto out = std::ostringstream{};
  out << "policy,load,seed,class,programs,p50_s,p95_s,p99_s,good_per_s,"
         "refused_share,failed_share,wasted_share,link_mb,refusals,retries,"
         "untruthful_refusals,double_runs,peak_ratio,p95_without_fault_s,"
         "p95_after_fault_s\n";
  for (const auto& row : rows) {
    AppendCsvRow(out, row, "all", row.all);
    for (auto i = std::size_t{0}; i < row.classes.size(); ++i) {
      AppendCsvRow(out, row, experiment.deployment.classes[i].name,
                   row.classes[i]);
    }
  }
  return out.str();
}

auto RenderPlot(const specification& experiment,
                const std::vector<trial_row>& rows) -> std::string {
  auto out = std::ostringstream{};
  for (const auto& policy : experiment.policies) {
    AppendSeries(out, experiment, rows, policy);
  }
  out << "set terminal svg size 1200,420\nset output '" << experiment.name
      << ".svg'\nset multiplot layout 1,3\nset key top left\n"
      << "set xlabel 'load, part of capacity'\nset ylabel 's'\n"
      << "set logscale y\n";
  AppendPanel(out, experiment, "program latency p50", 2);
  AppendPanel(out, experiment, "program latency p95", 3);
  out << "unset logscale y\nset ylabel '%'\n";
  AppendPanel(out, experiment, "wasted cache, part of prompt tokens", 4);
  out << "unset multiplot\n";
  return out.str();
}

}  // namespace daisywind::experiment
