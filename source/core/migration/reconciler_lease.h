// The lease that lets one entry VM give orders to endpoints.
#ifndef DAISYWIND_MIGRATION_RECONCILER_LEASE_H_
#define DAISYWIND_MIGRATION_RECONCILER_LEASE_H_

#include <cstdint>
#include <vector>

#include "common/time.h"
#include "migration/events.h"
#include "migration/migration_options.h"

namespace daisywind::migration {

// Acquires, renews and releases the lease. Whether it is held is decided from
// the time the grant ends, never from an answer that is still expected.
class reconciler_lease {
 public:
  explicit reconciler_lease(const migration_options& options);

  auto On(const members& input) -> void;
  auto On(const lease_granted& input, instant now) -> void;
  auto On(const lease_held_by_other& input) -> void;
  auto On(const lease_lost& input) -> void;
  auto On(const lease_outcome_unknown& input) -> void;

  // An endpoint has seen a greater fencing number than ours.
  auto OnGreaterFence(std::uint64_t fence) -> void;

  // Gives the lease back and never acquires it again.
  auto Stop(std::vector<command>& commands) -> void;

  // Acquires or renews when due.
  auto Tick(instant now, std::vector<command>& commands) -> void;

  // Whether orders may be sent now.
  [[nodiscard]] auto MayOrder(instant now) const -> bool;

  // The time from which no order may be sent under the present grant.
  [[nodiscard]] auto OrdersEnd() const -> instant;

  // When the present fencing number was granted.
  [[nodiscard]] auto since() const -> instant { return since_; }

  [[nodiscard]] auto fence() const -> std::uint64_t { return fence_; }

 private:
  auto Drop() -> void;

  migration_options options_;
  std::uint64_t fence_ = 0;
  // Fencing numbers up to this one are known to be superseded.
  std::uint64_t superseded_ = 0;
  instant since_{};
  instant until_{};
  instant next_attempt_{};
  bool is_candidate_ = true;
  bool is_stopped_ = false;
};

}  // namespace daisywind::migration

#endif  // DAISYWIND_MIGRATION_RECONCILER_LEASE_H_
