// Outlier detection: ejects endpoints that fail or are slow, and readmits them
// after a probation.
#ifndef DAISYWIND_POLICY_HEALTH_H_
#define DAISYWIND_POLICY_HEALTH_H_

#include <cstdint>

#include "policy/units.h"

namespace daisywind::policy {

enum class health_state : std::uint8_t { kHealthy, kEjected, kProbation };

// Health of one endpoint as observed by this gateway.
class endpoint_health {
 public:
  // Records a completed call with its slowdown: its duration relative to that
  // at an unloaded endpoint.
  auto OnSuccess(double slowdown) -> void;

  auto OnFailure() -> void;

  // Whether the endpoint should be ejected for its failures or for its slowdown
  // relative to its peers' median.
  [[nodiscard]] auto IsOutlier(double peer_slowdown) const -> bool;

  // Ejects the endpoint. The ejection time doubles with each consecutive
  // ejection, up to a limit.
  auto Eject(instant now) -> void;

  // Starts the probation, with one call at a time, once the ejection time has
  // passed.
  auto Advance(instant now) -> void;

  [[nodiscard]] auto state() const -> health_state { return state_; }
  [[nodiscard]] auto slowdown() const -> double { return slowdown_; }

 private:
  health_state state_ = health_state::kHealthy;
  double slowdown_ = 1.0;
  double failure_rate_ = 0.0;
  std::uint32_t consecutive_failures_ = 0;
  std::uint32_t samples_ = 0;
  std::uint32_t consecutive_ejections_ = 0;
  std::uint32_t probation_successes_ = 0;
  instant ejected_until_;
};

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_HEALTH_H_
