// Metrics: histograms by organisation and class, counters, and their exposition
// as Prometheus text.
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

// Series of one process. Not for use by more than one thread.
class metrics {
 public:
  metrics();
  metrics(const metrics&) = delete;
  auto operator=(const metrics&) -> metrics& = delete;
  ~metrics();

  // Adds to a counter.
  auto Count(const std::string& name,
             const metric_labels& labels,
             std::uint64_t amount = 1) -> void;

  // Sets a gauge.
  auto SetGauge(const std::string& name,
                const metric_labels& labels,
                double value) -> void;

  // Adds a duration to a histogram by organisation and class.
  auto Observe(const std::string& name,
               const organisation_id& organisation,
               const class_id& klass,
               duration value) -> void;

  // The value of a counter; zero when it was never added to.
  [[nodiscard]] auto CounterValue(const std::string& name,
                                  const metric_labels& labels) const
      -> std::uint64_t;

  // All series in the Prometheus text format.
  [[nodiscard]] auto Render() const -> std::string;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace daisywind

#endif  // DAISYWIND_COMMON_METRICS_H_
