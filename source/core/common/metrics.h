// Counters, gauges and latency histograms by organisation and class, rendered
// in the Prometheus text format.
#ifndef DAISYWIND_COMMON_METRICS_H_
#define DAISYWIND_COMMON_METRICS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "common/ids.h"
#include "common/time.h"

namespace daisywind {

// Label names and values of one series, in order.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

// All series of one process. Not thread-safe.
class metrics {
 public:
  metrics();
  metrics(const metrics&) = delete;
  auto operator=(const metrics&) -> metrics& = delete;
  ~metrics();

  // Increments a counter, which starts at zero.
  auto Count(const std::string& name,
             const metric_labels& labels,
             std::uint64_t amount = 1) -> void;

  auto SetGauge(const std::string& name,
                const metric_labels& labels,
                double value) -> void;

  // Records a duration in the histogram of an organisation and class.
  auto Observe(const std::string& name,
               const organisation_id& organisation,
               const class_id& klass,
               duration value) -> void;

  // The value of a counter; zero when it was never incremented.
  [[nodiscard]] auto CounterValue(const std::string& name,
                                  const metric_labels& labels) const
      -> std::uint64_t;

  // Renders all series in the Prometheus text format. Durations are in seconds.
  [[nodiscard]] auto Render() const -> std::string;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace daisywind

#endif  // DAISYWIND_COMMON_METRICS_H_
