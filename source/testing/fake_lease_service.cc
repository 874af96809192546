#include "testing/fake_lease_service.h"

namespace daisywind::testing {

auto fake_lease_service::Acquire(const std::string& vm,
                                 duration time_to_live,
                                 instant now) -> migration::event {
  if (!IsReachableFrom(vm)) {
    return migration::lease_outcome_unknown{};
  }
  ++revision_;
  const auto is_free = now >= expires_at_;
  if (is_free) {
    fence_ = revision_;
    holder_ = vm;
    expires_at_ = now + time_to_live;
  }
  if (drops_responses) {
    return migration::lease_outcome_unknown{};
  }
  if (holder_ != vm) {
    return migration::lease_held_by_other{};
  }
  return migration::lease_granted{fence_, expires_at_};
}

auto fake_lease_service::Renew(const std::string& vm,
                               const migration::renew_lease& item,
                               instant now) -> migration::event {
  if (!IsReachableFrom(vm)) {
    return migration::lease_outcome_unknown{};
  }
  const auto is_held = fence_ == item.fence && now < expires_at_;
  if (is_held) {
    expires_at_ = now + item.time_to_live;
  }
  if (drops_responses) {
    return migration::lease_outcome_unknown{};
  }
  if (!is_held) {
    return migration::lease_lost{};
  }
  return migration::lease_granted{fence_, expires_at_};
}

auto fake_lease_service::Release(const std::string& vm,
                                 std::uint64_t fence,
                                 instant now) -> void {
  if (IsReachableFrom(vm) && fence_ == fence) {
    expires_at_ = now;
  }
}

auto fake_lease_service::IsReachableFrom(const std::string& vm) const -> bool {
  return is_up && !unreachable_from.contains(vm);
}

auto fake_lease_service::CurrentFence(instant now) const -> std::uint64_t {
  return now < expires_at_ ? fence_ : 0;
}

}  // namespace daisywind::testing
