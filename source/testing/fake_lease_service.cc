#include "testing/fake_lease_service.h"

namespace daisywind::testing {

auto fake_lease_service::Acquire(const std::string& vm,
                                 duration time_to_live,
                                 instant now) -> migration::event {
  if (!IsReached(vm)) {
    return migration::lease_outcome_unknown{};
  }
  ++revision_;
  const auto is_free = now >= until_;
  if (is_free) {
    fence_ = revision_;
    holder_ = vm;
    until_ = now + time_to_live;
  }
  if (loses_answers) {
    return migration::lease_outcome_unknown{};
  }
  if (holder_ != vm) {
    return migration::lease_held_by_other{};
  }
  return migration::lease_granted{fence_, until_};
}

auto fake_lease_service::Renew(const std::string& vm,
                               const migration::renew_lease& item,
                               instant now) -> migration::event {
  if (!IsReached(vm)) {
    return migration::lease_outcome_unknown{};
  }
  const auto is_held = fence_ == item.fence && now < until_;
  if (is_held) {
    until_ = now + item.time_to_live;
  }
  if (loses_answers) {
    return migration::lease_outcome_unknown{};
  }
  if (!is_held) {
    return migration::lease_lost{};
  }
  return migration::lease_granted{fence_, until_};
}

auto fake_lease_service::Release(const std::string& vm,
                                 std::uint64_t fence,
                                 instant now) -> void {
  if (IsReached(vm) && fence_ == fence) {
    until_ = now;
  }
}

auto fake_lease_service::IsReached(const std::string& vm) const -> bool {
  return is_up && !cut_off.contains(vm);
}

auto fake_lease_service::FenceInForce(instant now) const -> std::uint64_t {
  return now < until_ ? fence_ : 0;
}

}  // namespace daisywind::testing
