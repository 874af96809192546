// The lease that allows one entry VM to send orders to endpoints.
#ifndef DAISYWIND_MIGRATION_RECONCILER_LEASE_H_
#define DAISYWIND_MIGRATION_RECONCILER_LEASE_H_

#include <cstdint>
#include <vector>

#include "common/time.h"
#include "migration/events.h"
#include "migration/migration_options.h"

namespace daisywind::migration {

// Acquires, renews and releases the lease. Whether it is held depends on the
// end of the last confirmed grant, never on a pending request.
class reconciler_lease {
 public:
  explicit reconciler_lease(const migration_options& options);

  auto On(const members& input) -> void;
  auto On(const lease_granted& input, instant now) -> void;
  auto On(const lease_held_by_other& input) -> void;
  auto On(const lease_lost& input) -> void;
  auto On(const lease_outcome_unknown& input) -> void;

  // An endpoint has seen the given fencing number. If it is greater than that
  // of this VM's lease, the lease has been superseded.
  auto OnFenceSeen(std::uint64_t fence) -> void;

  // Releases the lease and never acquires it again.
  auto Stop(std::vector<command>& commands) -> void;

  // Acquires or renews when due.
  auto Tick(instant now, std::vector<command>& commands) -> void;

  // Whether the lease is held and its final margin has not begun.
  [[nodiscard]] auto CanSendOrders(instant now) const -> bool;

  // The time from which no order may be sent under the current grant: its end
  // minus the margin.
  [[nodiscard]] auto SendDeadline() const -> instant;

  // When the current fencing number was granted.
  [[nodiscard]] auto granted_at() const -> instant { return granted_at_; }

  [[nodiscard]] auto fence() const -> std::uint64_t { return fence_; }

 private:
  // Ends the use of the lease without a request to release it.
  auto Drop() -> void;

  migration_options options_;
  // Zero while the lease is not held.
  std::uint64_t fence_ = 0;
  // Grants with fencing numbers up to this one have expired, were lost or were
  // superseded. A late response must not revive them.
  std::uint64_t last_ended_fence_ = 0;
  instant granted_at_{};
  instant lease_end_{};
  instant next_request_at_{};
  bool is_candidate_ = true;
  bool is_stopped_ = false;
};

}  // namespace daisywind::migration

#endif  // DAISYWIND_MIGRATION_RECONCILER_LEASE_H_
