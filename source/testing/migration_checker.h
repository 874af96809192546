// Checks the safety properties of a migration against the actual state of the
// engines and the lease service, independent of the migration systems' own
// view.
#ifndef DAISYWIND_TESTING_MIGRATION_CHECKER_H_
#define DAISYWIND_TESTING_MIGRATION_CHECKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "common/time.h"

namespace daisywind::testing {

enum class violation : std::uint8_t {
  kBelowNeed,              // fewer endpoints serve than needed
  kRequestToLeaving,       // request to an endpoint leaving for over 3 s
  kOrderWithoutLease,      // order with a superseded fencing number
  kFalseEvacuationReport,  // reported as evacuated but is not
  kRequestAborted,         // order aborted running requests
  kFenceRegressed,         // fencing engine obeyed an older reconciler
};

// State at one time, as the engines and the lease service have it.
struct migration_snapshot {
  std::uint32_t serving = 0;
  std::uint32_t need = 0;
  // Endpoints that an injected fault took out of service.
  std::uint32_t lost_to_faults = 0;
  bool is_evacuation_complete = false;
  std::set<std::string> vms_reporting_evacuated;
  std::uint64_t aborted_requests = 0;
};

class migration_checker {
 public:
  // Checks the state after each simulation step.
  auto OnStep(instant now, const migration_snapshot& snapshot) -> void;

  // Notes that from `now` on every VM knows whether the platform lists the
  // endpoint's VM as leaving.
  auto OnListedAsLeaving(const std::string& endpoint,
                         bool is_leaving,
                         instant now) -> void;

  // Sets the time from which every VM knows that the configuration removes the
  // endpoint and that replacements are ready; nullopt when this is not so.
  auto OnReplaced(const std::string& endpoint, std::optional<instant> since)
      -> void;

  // Checks a request that a VM has sent to an endpoint.
  auto OnRequest(const std::string& endpoint, bool is_accepted, instant now)
      -> void;

  // Checks an order as a VM sends it. `granted` is the fencing number of the
  // current lease, zero when there is none.
  auto OnOrder(std::uint64_t fence, std::uint64_t granted) -> void;

  // Checks an order accepted by an engine that checks fencing numbers.
  auto OnFencedOrder(const std::string& endpoint, std::uint64_t fence) -> void;

  // Notes that a duplicated order was delivered late. Engines without fencing
  // obey it, so violations that it can cause are ignored until the reconciler
  // has had time to correct it.
  auto OnLateOrder(instant now) -> void;

  [[nodiscard]] auto violations() const -> const std::set<violation>& {
    return violations_;
  }

 private:
  std::set<violation> violations_;
  std::map<std::string, instant> listed_since_;
  std::map<std::string, instant> replaced_since_;
  std::map<std::string, std::uint64_t> fences_;
  std::optional<instant> not_empty_since_;
  std::set<std::string> reporting_evacuated_;
  std::uint64_t aborted_requests_ = 0;
  instant excused_until_{};
};

}  // namespace daisywind::testing

#endif  // DAISYWIND_TESTING_MIGRATION_CHECKER_H_
