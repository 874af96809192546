// What calls of one model or service cost in time, learnt from finished calls.
#ifndef DAISYWIND_POLICY_COST_MODEL_H_
#define DAISYWIND_POLICY_COST_MODEL_H_

#include <cstdint>

#include "policy/types.h"
#include "policy/units.h"

namespace daisywind::policy {

// Times of one finished call as the gateway saw them.
struct call_timing {
  seconds until_first_token{0};
  seconds total{0};
  token_usage usage;
};

// Estimates of unloaded times and of the mean under the present load.
class cost_model {
 public:
  // Learns from a completed call.
  auto Learn(const call_timing& timing) -> void;

  // Unloaded time to compute `tokens` of a prompt.
  [[nodiscard]] auto PrefillTime(double tokens) const -> seconds;

  // Unloaded time of a call of this usage.
  [[nodiscard]] auto UnloadedTime(const token_usage& usage) const -> seconds;

  // Mean time that a call takes at an endpoint.
  [[nodiscard]] auto MeanService() const -> seconds { return mean_service_; }

 private:
  seconds prefill_per_token_{0.0001};
  seconds decode_per_token_{0.02};
  seconds mean_service_{1.0};
};

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_COST_MODEL_H_
