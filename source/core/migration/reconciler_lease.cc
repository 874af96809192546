#include "migration/reconciler_lease.h"

#include <algorithm>
#include <cstddef>

#include "common/digest.h"

namespace daisywind::migration {
namespace {

// Hash seed that makes the choice of candidates independent of the placement of
// programs. The value is "lease" in ASCII.
constexpr auto kCandidateSeed = std::uint64_t{0x6c65617365};

}  // namespace

reconciler_lease::reconciler_lease(const migration_options& options)
    : options_(options) {}

auto reconciler_lease::On(const members& input) -> void {
  const auto own = PlacementHash(input.self.value, kCandidateSeed);
  const auto lower_hash_count =
      std::count_if(input.live.begin(), input.live.end(), [&](const vm_id& vm) {
        return PlacementHash(vm.value, kCandidateSeed) < own;
      });
  is_candidate_ =
      static_cast<std::size_t>(lower_hash_count) < options_.lease_candidates;
}

auto reconciler_lease::On(const lease_granted& input, instant now) -> void {
  if (is_stopped_ || input.fence <= last_ended_fence_ || input.fence < fence_) {
    return;
  }
  // A late response to an earlier renewal must not shorten the lease.
  if (input.fence == fence_) {
    lease_end_ = std::max(lease_end_, input.until);
    return;
  }
  fence_ = input.fence;
  granted_at_ = now;
  lease_end_ = input.until;
}

auto reconciler_lease::On(const lease_held_by_other& /*input*/) -> void {
  Drop();
}

auto reconciler_lease::On(const lease_lost& /*input*/) -> void {
  last_ended_fence_ = std::max(last_ended_fence_, fence_);
  Drop();
}

auto reconciler_lease::On(const lease_outcome_unknown& /*input*/) -> void {
  // The last confirmed grant remains valid until its end.
}

auto reconciler_lease::OnFenceSeen(std::uint64_t fence) -> void {
  if (fence <= fence_) {
    return;
  }
  last_ended_fence_ = std::max(last_ended_fence_, fence_);
  Drop();
}

auto reconciler_lease::Stop(std::vector<command>& commands) -> void {
  if (fence_ != 0) {
    commands.emplace_back(release_lease{fence_});
  }
  is_stopped_ = true;
  Drop();
}

auto reconciler_lease::Tick(instant now, std::vector<command>& commands)
    -> void {
  if (fence_ != 0 && now >= lease_end_) {
    last_ended_fence_ = std::max(last_ended_fence_, fence_);
    Drop();
  }
  if (is_stopped_ || now < next_request_at_) {
    return;
  }
  if (fence_ != 0) {
    next_request_at_ = now + options_.lease_renewal_interval;
    commands.emplace_back(renew_lease{fence_, options_.lease_time_to_live});
  } else if (is_candidate_) {
    next_request_at_ = now + options_.lease_retry_interval;
    commands.emplace_back(acquire_lease{options_.lease_time_to_live});
  }
}

auto reconciler_lease::CanSendOrders(instant now) const -> bool {
  return fence_ != 0 && !is_stopped_ && now < SendDeadline();
}

auto reconciler_lease::SendDeadline() const -> instant {
  return lease_end_ - options_.lease_margin;
}

auto reconciler_lease::Drop() -> void {
  fence_ = 0;
  lease_end_ = {};
}

}  // namespace daisywind::migration
