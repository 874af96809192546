// Estimates of how long calls of one model or service take, from the times of
// finished calls.
#ifndef DAISYWIND_POLICY_COST_MODEL_H_
#define DAISYWIND_POLICY_COST_MODEL_H_

#include <cstdint>

#include "policy/types.h"
#include "policy/units.h"

namespace daisywind::policy {

// Times of one finished call as measured by the gateway.
struct call_timing {
  seconds until_first_token{0};
  seconds total{0};
  token_usage usage;
};

// Estimates the times of an unloaded endpoint, and the mean time under the
// present load.
class cost_model {
 public:
  // Updates the estimates from a completed call.
  auto AddSample(const call_timing& timing) -> void;

  // Time to compute `tokens` of a prompt at an unloaded endpoint.
  [[nodiscard]] auto PrefillTime(double tokens) const -> seconds;

  // Time of a call with this token usage at an unloaded endpoint.
  [[nodiscard]] auto UnloadedTime(const token_usage& usage) const -> seconds;

  // Mean time from sending a call to its end, under the present load.
  [[nodiscard]] auto MeanServiceTime() const -> seconds {
    return mean_service_time_;
  }

 private:
  seconds prefill_per_token_{0.0001};
  seconds decode_per_token_{0.02};
  seconds mean_service_time_{1.0};
};

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_COST_MODEL_H_
