#include "testing/migration_checker.h"

#include <algorithm>

namespace daisywind::testing {
namespace {

// Longest time in which VMs may still send requests to a leaving endpoint.
constexpr auto kLeavingGrace = duration{3s};
// Longest time that a VM may report an evacuation that is no longer complete: a
// settled endpoint is read every 30 s, and a report stays valid for 5 s more.
constexpr auto kFalseReportGrace = duration{40s};
// Time to undo the effect of a late order: it is noticed within the report
// interval, then the endpoint has to load its models again.
constexpr auto kCorrectionTime = duration{75s};

auto IsPastGrace(const std::map<std::string, instant>& since,
                 const std::string& endpoint,
                 instant now) -> bool {
  const auto found = since.find(endpoint);
  return found != since.end() && now > found->second + kLeavingGrace;
}

}  // namespace

auto migration_checker::OnStep(instant now, const migration_snapshot& snapshot)
    -> void {
  if (snapshot.serving + snapshot.lost_to_faults < snapshot.need &&
      now >= excused_until_) {
    violations_.insert(violation::kBelowNeed);
  }
  if (snapshot.aborted_requests > aborted_requests_ && now >= excused_until_) {
    violations_.insert(violation::kRequestAborted);
  }
  aborted_requests_ = snapshot.aborted_requests;
  if (snapshot.is_evacuation_complete) {
    not_empty_since_.reset();
  } else if (!not_empty_since_) {
    not_empty_since_ = now;
  }
  const auto is_new_report =
      !std::includes(reporting_evacuated_.begin(), reporting_evacuated_.end(),
                     snapshot.vms_reporting_evacuated.begin(),
                     snapshot.vms_reporting_evacuated.end());
  reporting_evacuated_ = snapshot.vms_reporting_evacuated;
  const auto is_wrong_too_long =
      not_empty_since_ && now - *not_empty_since_ > kFalseReportGrace;
  if (!snapshot.is_evacuation_complete && !reporting_evacuated_.empty() &&
      (is_wrong_too_long || (is_new_report && now >= excused_until_))) {
    violations_.insert(violation::kFalseEvacuationReport);
  }
}

auto migration_checker::OnListedAsLeaving(const std::string& endpoint,
                                          bool is_leaving,
                                          instant now) -> void {
  if (is_leaving) {
    listed_since_.emplace(endpoint, now);
  } else {
    listed_since_.erase(endpoint);
  }
}

auto migration_checker::OnReplaced(const std::string& endpoint,
                                   std::optional<instant> since) -> void {
  replaced_since_.erase(endpoint);
  if (since) {
    replaced_since_.emplace(endpoint, *since);
  }
}

auto migration_checker::OnRequest(const std::string& endpoint,
                                  bool is_accepted,
                                  instant now) -> void {
  if (IsPastGrace(listed_since_, endpoint, now) ||
      (is_accepted && IsPastGrace(replaced_since_, endpoint, now))) {
    violations_.insert(violation::kRequestToLeaving);
  }
}

auto migration_checker::OnOrder(std::uint64_t fence, std::uint64_t granted)
    -> void {
  if (fence < granted) {
    violations_.insert(violation::kOrderWithoutLease);
  }
}

auto migration_checker::OnFencedOrder(const std::string& endpoint,
                                      std::uint64_t fence) -> void {
  auto& last = fences_[endpoint];
  if (fence < last) {
    violations_.insert(violation::kFenceRegressed);
  }
  last = std::max(last, fence);
}

auto migration_checker::OnLateOrder(instant now) -> void {
  excused_until_ = std::max(excused_until_, now + kCorrectionTime);
}

}  // namespace daisywind::testing
