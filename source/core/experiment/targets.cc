#include <algorithm>
#include <iomanip>
#include <limits>
#include <sstream>

#include "experiment/report.h"

namespace daisywind::experiment {
namespace {

constexpr auto kPolicy = "daisywind";
constexpr auto kNormalLoad = 0.9;
constexpr auto kFullLoad = 1.0;
constexpr auto kOverload = 1.5;

using metric_getter = double (*)(const trial_row&);

// Formats the targets, one line for each.
class target_writer {
 public:
  target_writer(const specification& experiment,
                const std::vector<trial_row>& rows)
      : experiment_(experiment), rows_(rows) {
    out_ << std::fixed << std::setprecision(3);
  }

  auto AtMost(std::string_view name, double value, double bound) -> void {
    Line(name, value, "at most", bound, value <= bound);
  }

  auto AtLeast(std::string_view name, double value, double bound) -> void {
    Line(name, value, "at least", bound, value >= bound);
  }

  [[nodiscard]] auto Mean(const std::string& policy,
                          double load,
                          metric_getter metric) const -> double {
    return MeanOf(rows_, policy, load, metric);
  }

  // Smallest mean among the policies other than "daisywind".
  [[nodiscard]] auto BestBaseline(double load, metric_getter metric) const
      -> double {
    auto best = std::numeric_limits<double>::infinity();
    for (const auto& policy : experiment_.policies) {
      if (policy != kPolicy) {
        best = std::min(best, Mean(policy, load, metric));
      }
    }
    return best;
  }

  // Sum of a metric over all trials of the policy "daisywind".
  [[nodiscard]] auto Total(metric_getter metric) const -> double {
    auto sum = 0.0;
    for (const auto& row : rows_) {
      sum += row.choice.policy == kPolicy ? metric(row) : 0.0;
    }
    return sum;
  }

  [[nodiscard]] auto HasLoad(double load) const -> bool {
    return std::ranges::find(experiment_.loads, load) !=
           experiment_.loads.end();
  }

  [[nodiscard]] auto HasFault(fault_kind kind) const -> bool {
    return std::ranges::any_of(experiment_.faults, [kind](const auto& item) {
      return item.kind == kind;
    });
  }

  [[nodiscard]] auto Text() const -> std::string { return out_.str(); }

 private:
  auto Line(std::string_view name,
            double value,
            std::string_view relation,
            double bound,
            bool is_met) -> void {
    out_ << experiment_.name << ": " << name << ": " << value << " ("
         << relation << ' ' << bound << ") " << (is_met ? "met" : "MISSED")
         << '\n';
  }

  const specification& experiment_;
  const std::vector<trial_row>& rows_;
  std::ostringstream out_;
};

auto WriteNormalLoad(target_writer& writer) -> void {
  const auto p50 = [](const trial_row& row) { return row.all.p50; };
  const auto p95 = [](const trial_row& row) { return row.all.p95; };
  const auto wasted = [](const trial_row& row) { return row.wasted_share; };
  const auto daisywind_p95 = writer.Mean(kPolicy, kNormalLoad, p95);
  const auto daisywind_p50 = writer.Mean(kPolicy, kNormalLoad, p50);
  const auto daisywind_wasted = writer.Mean(kPolicy, kNormalLoad, wasted);
  writer.AtMost("p95 at 0.9 by the best baseline's",
                daisywind_p95 / writer.BestBaseline(kNormalLoad, p95), 0.6);
  writer.AtMost("p50 at 0.9 by the best baseline's",
                daisywind_p50 / writer.BestBaseline(kNormalLoad, p50), 1.0);
  writer.AtMost(
      "wasted cache at 0.9 by least loaded's",
      daisywind_wasted / writer.Mean("least_loaded", kNormalLoad, wasted), 0.5);
  writer.AtMost(
      "wasted cache at 0.9 by pure affinity's",
      daisywind_wasted / writer.Mean("pure_affinity", kNormalLoad, wasted),
      1.1);
}

auto WriteOverload(target_writer& writer) -> void {
  const auto good = [](const trial_row& row) {
    return row.good_programs_per_s;
  };
  // The first class of the deployment has the highest priority.
  const auto first_p95 = [](const trial_row& row) {
    return row.classes.front().p95;
  };
  writer.AtLeast("goodput at 1.5 by that at 1.0",
                 writer.Mean(kPolicy, kOverload, good) /
                     writer.Mean(kPolicy, kFullLoad, good),
                 0.9);
  writer.AtMost("first class's p95 at 1.5 by that at 0.9",
                writer.Mean(kPolicy, kOverload, first_p95) /
                    writer.Mean(kPolicy, kNormalLoad, first_p95),
                1.3);
}

auto WriteCorrectness(target_writer& writer) -> void {
  writer.AtMost("untruthful refusals", writer.Total([](const trial_row& row) {
    return static_cast<double>(row.untruthful_refusals);
  }),
                0.0);
  writer.AtMost("non-idempotent requests run twice",
                writer.Total([](const trial_row& row) {
                  return static_cast<double>(row.double_runs);
                }),
                0.0);
}

auto WriteFaults(const specification& experiment, target_writer& writer)
    -> void {
  const auto load = experiment.loads.front();
  if (writer.HasFault(fault_kind::kDomainLost)) {
    const auto without = [](const trial_row& row) {
      return row.without_fault.p95;
    };
    const auto after = [](const trial_row& row) { return row.after_fault.p95; };
    writer.AtMost(
        "p95 from 10 s after the loss of a domain by that without it",
        writer.Mean(kPolicy, load, after) / writer.Mean(kPolicy, load, without),
        1.2);
  }
  if (writer.HasFault(fault_kind::kRetryStorm)) {
    const auto peak = [](const trial_row& row) { return row.peak_ratio; };
    writer.AtMost("engine load after a retry storm by that before",
                  writer.Mean(kPolicy, load, peak), 1.1);
  }
}

}  // namespace

auto RenderTargets(const specification& experiment,
                   const std::vector<trial_row>& rows) -> std::string {
  auto writer = target_writer{experiment, rows};
  if (writer.HasLoad(kNormalLoad) && experiment.policies.size() > 1 &&
      experiment.faults.empty()) {
    WriteNormalLoad(writer);
  }
  if (writer.HasLoad(kOverload) && writer.HasLoad(kFullLoad)) {
    WriteOverload(writer);
  }
  WriteFaults(experiment, writer);
  WriteCorrectness(writer);
  return writer.Text();
}

}  // namespace daisywind::experiment
