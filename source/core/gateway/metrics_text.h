// Reads samples from the text format of Prometheus.
#ifndef DAISYWIND_GATEWAY_METRICS_TEXT_H_
#define DAISYWIND_GATEWAY_METRICS_TEXT_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace daisywind::gateway {

// Returns the first sample of a gauge, rounded down, with negative values as
// zero. Returns nothing when there is no such sample, it is no number, or its
// line has no end: a truncated number would pass for a smaller one.
auto ReadGauge(std::string_view text, std::string_view name)
    -> std::optional<std::uint32_t>;

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_METRICS_TEXT_H_
