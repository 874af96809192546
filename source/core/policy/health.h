// Outlier detection: which endpoints are kept from new work for failing or
// being slow, and when they are tried again.
#ifndef DAISYWIND_POLICY_HEALTH_H_
#define DAISYWIND_POLICY_HEALTH_H_

#include <cstdint>

#include "policy/units.h"

namespace daisywind::policy {

enum class health_state : std::uint8_t { kHealthy, kEjected, kProbation };

// Health of one endpoint as this gateway has seen it.
class endpoint_health {
 public:
  // Records a completed call and how many times longer than unloaded it took.
  auto OnSuccess(double slowdown) -> void;

  // Records a failed call.
  auto OnFailure() -> void;

  // Whether failures or a slowdown relative to its peers' justify
  // ejection.
  [[nodiscard]] auto IsOutlier(double peer_slowdown) const -> bool;

  // Stops new work until a time that grows with each ejection in a row.
  auto Eject(instant now) -> void;

  // Lets one call through at a time once the ejection has run out.
  auto Advance(instant now) -> void;

  [[nodiscard]] auto state() const -> health_state { return state_; }
  [[nodiscard]] auto slowdown() const -> double { return slowdown_; }

 private:
  health_state state_ = health_state::kHealthy;
  double slowdown_ = 1.0;
  double failure_rate_ = 0.0;
  std::uint32_t failures_in_row_ = 0;
  std::uint32_t samples_ = 0;
  std::uint32_t ejections_in_row_ = 0;
  std::uint32_t probation_successes_ = 0;
  instant ejected_until_;
};

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_HEALTH_H_
