#include "testing/migration_checker.h"

#include <algorithm>

namespace daisywind::testing {
namespace {

constexpr auto kLeavingBound = duration{3s};
// A settled endpoint is read every 30 s, and a report holds for 5 s more.
constexpr auto kProofBound = duration{40s};
// A late order is seen within the interval of reports; then the endpoint has to
// load again.
constexpr auto kCorrectionBound = duration{75s};

auto HasPassed(const std::map<std::string, instant>& since,
               const std::string& endpoint,
               instant now) -> bool {
  const auto found = since.find(endpoint);
  return found != since.end() && now > found->second + kLeavingBound;
}

}  // namespace

auto move_checker::OnStep(instant now, const move_facts& facts) -> void {
  if (facts.serving + facts.taken_by_faults < facts.need &&
      now >= excused_until_) {
    violations_.insert(violation::kUnderNeed);
  }
  if (facts.cut_requests > cut_requests_ && now >= excused_until_) {
    violations_.insert(violation::kWorkCut);
  }
  cut_requests_ = facts.cut_requests;
  if (facts.is_evacuation_complete) {
    not_empty_since_.reset();
  } else if (!not_empty_since_) {
    not_empty_since_ = now;
  }
  const auto is_new_claim = !std::includes(claiming_.begin(), claiming_.end(),
                                           facts.vms_claiming_empty.begin(),
                                           facts.vms_claiming_empty.end());
  claiming_ = facts.vms_claiming_empty;
  const auto is_long_wrong =
      not_empty_since_ && now - *not_empty_since_ > kProofBound;
  if (!facts.is_evacuation_complete && !claiming_.empty() &&
      (is_long_wrong || (is_new_claim && now >= excused_until_))) {
    violations_.insert(violation::kFalseProofOfEmpty);
  }
}

auto move_checker::OnListed(const std::string& endpoint,
                            bool is_leaving,
                            instant now) -> void {
  if (is_leaving) {
    listed_since_.emplace(endpoint, now);
  } else {
    listed_since_.erase(endpoint);
  }
}

auto move_checker::OnReplaced(const std::string& endpoint,
                              std::optional<instant> since) -> void {
  replaced_since_.erase(endpoint);
  if (since) {
    replaced_since_.emplace(endpoint, *since);
  }
}

auto move_checker::OnWork(const std::string& endpoint,
                          bool is_accepted,
                          instant now) -> void {
  if (HasPassed(listed_since_, endpoint, now) ||
      (is_accepted && HasPassed(replaced_since_, endpoint, now))) {
    violations_.insert(violation::kWorkToLeaving);
  }
}

auto move_checker::OnOrder(std::uint64_t fence, std::uint64_t granted) -> void {
  if (fence < granted) {
    violations_.insert(violation::kOrderWithoutLease);
  }
}

auto move_checker::OnFence(const std::string& endpoint, std::uint64_t fence)
    -> void {
  auto& last = fences_[endpoint];
  if (fence < last) {
    violations_.insert(violation::kFenceReverted);
  }
  last = std::max(last, fence);
}

auto move_checker::OnLateOrder(instant now) -> void {
  excused_until_ = std::max(excused_until_, now + kCorrectionBound);
}

}  // namespace daisywind::testing
