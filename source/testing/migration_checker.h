// Checks a move from the outside: by what engines do, not by what the migration
// systems believe.
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
  kUnderNeed,          // fewer serving endpoints than needed
  kWorkToLeaving,      // new work for an endpoint that has left for 3 s
  kOrderWithoutLease,  // an order under a superseded fencing number
  kFalseProofOfEmpty,  // claimed empty but is not
  kWorkCut,            // running work ended by an order
  kFenceReverted,      // a checking engine follows an older reconciler
};

// What happens at one time, as the engines and the service know it.
struct move_facts {
  std::uint32_t serving = 0;
  std::uint32_t need = 0;
  // Endpoints that the fault itself took out of service.
  std::uint32_t taken_by_faults = 0;
  bool is_evacuation_complete = false;
  std::set<std::string> vms_claiming_empty;
  std::uint64_t cut_requests = 0;
};

class move_checker {
 public:
  // Takes the facts of each step.
  auto OnStep(instant now, const move_facts& facts) -> void;

  // The endpoint's VM has been listed as leaving, or not any more.
  auto OnListed(const std::string& endpoint, bool is_leaving, instant now)
      -> void;

  // Every VM can know since then that the endpoint has left by configuration;
  // nothing when it has not.
  auto OnReplaced(const std::string& endpoint, std::optional<instant> since)
      -> void;

  // A VM has sent work to an endpoint.
  auto OnWork(const std::string& endpoint, bool is_accepted, instant now)
      -> void;

  // An order leaves a VM while the service's newest grant is the given one.
  auto OnOrder(std::uint64_t fence, std::uint64_t granted) -> void;

  // An engine that checks fencing numbers has taken an order.
  auto OnFence(const std::string& endpoint, std::uint64_t fence) -> void;

  // An engine that ignores fencing numbers has taken a late order: what it
  // breaks is excused until it can have been corrected.
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
  std::set<std::string> claiming_;
  std::uint64_t cut_requests_ = 0;
  instant excused_until_{};
};

}  // namespace daisywind::testing

#endif  // DAISYWIND_TESTING_MIGRATION_CHECKER_H_
