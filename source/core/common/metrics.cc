#include "common/metrics.h"

#include <boost/histogram.hpp>
#include <chrono>
#include <cmath>
#include <sstream>
#include <utility>

namespace daisywind {
namespace {

namespace bh = boost::histogram;

// Latencies from one millisecond to one hour in logarithmic bins, four per
// decade.
constexpr auto kFirstEdgeSeconds = 0.001;
constexpr auto kLastEdgeSeconds = 3600.0;
constexpr auto kBins = 26U;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using latency_histogram = bh::histogram<std::tuple<log_axis>>;

auto MakeHistogram() -> latency_histogram {
  return bh::make_histogram(
      log_axis{kBins, kFirstEdgeSeconds, kLastEdgeSeconds});
}

struct latency_series {
  latency_histogram bins = MakeHistogram();
  double sum_seconds = 0;
  std::uint64_t count = 0;
};

auto RenderLabels(const metric_labels& labels) -> std::string {
  auto text = std::string{};
  for (const auto& [name, value] : labels) {
    text += text.empty() ? "" : ",";
    text += name;
    text += "=\"";
    text += value;
    text += '"';
  }
  return text.empty() ? text : "{" + text + "}";
}

auto WithLabel(metric_labels labels, std::string name, std::string value)
    -> metric_labels {
  labels.emplace_back(std::move(name), std::move(value));
  return labels;
}

auto RenderBuckets(std::ostringstream& out,
                   const std::string& name,
                   const metric_labels& labels,
                   const latency_series& series) -> void {
  auto cumulative = 0.0;
  const auto& axis = series.bins.axis(0);
  for (auto i = -1; i < static_cast<int>(axis.size()); ++i) {
    cumulative += static_cast<double>(series.bins.at(i));
    auto edge = std::ostringstream{};
    edge << axis.value(i + 1);
    out << name << "_bucket"
        << RenderLabels(WithLabel(labels, "le", edge.str())) << ' '
        << cumulative << '\n';
  }
  out << name << "_bucket" << RenderLabels(WithLabel(labels, "le", "+Inf"))
      << ' ' << series.count << '\n';
  out << name << "_sum" << RenderLabels(labels) << ' ' << series.sum_seconds
      << '\n';
  out << name << "_count" << RenderLabels(labels) << ' ' << series.count
      << '\n';
}

using series_key = std::pair<std::string, metric_labels>;

template <class Table>
auto RenderTable(std::ostringstream& out, const Table& table, const char* type)
    -> void {
  auto last = std::string{};
  for (const auto& [key, value] : table) {
    if (key.first != last) {
      out << "# TYPE " << key.first << ' ' << type << '\n';
      last = key.first;
    }
    out << key.first << RenderLabels(key.second) << ' ' << value << '\n';
  }
}

}  // namespace

struct metrics::state {
  std::map<series_key, std::uint64_t> counters;
  std::map<series_key, double> gauges;
  std::map<series_key, latency_series> latencies;
};

metrics::metrics() : state_(std::make_unique<state>()) {}

metrics::~metrics() = default;

auto metrics::Count(const std::string& name,
                    const metric_labels& labels,
                    std::uint64_t amount) -> void {
  state_->counters[{name, labels}] += amount;
}

auto metrics::SetGauge(const std::string& name,
                       const metric_labels& labels,
                       double value) -> void {
  state_->gauges[{name, labels}] = value;
}

auto metrics::Observe(const std::string& name,
                      const organisation_id& organisation,
                      const class_id& klass,
                      duration value) -> void {
  const auto labels = metric_labels{{"organisation", organisation.value},
                                    {"class", klass.value}};
  auto& series = state_->latencies[{name, labels}];
  const auto seconds = std::chrono::duration<double>(value).count();
  series.bins(seconds);
  series.sum_seconds += seconds;
  ++series.count;
}

auto metrics::CounterValue(const std::string& name,
                           const metric_labels& labels) const -> std::uint64_t {
  const auto found = state_->counters.find({name, labels});
  return found == state_->counters.end() ? 0 : found->second;
}

auto metrics::Render() const -> std::string {
  auto out = std::ostringstream{};
  RenderTable(out, state_->counters, "counter");
  RenderTable(out, state_->gauges, "gauge");
  auto last = std::string{};
  for (const auto& [key, series] : state_->latencies) {
    if (key.first != last) {
      out << "# TYPE " << key.first << " histogram\n";
      last = key.first;
    }
    RenderBuckets(out, key.first, key.second, series);
  }
  return out.str();
}

}  // namespace daisywind
