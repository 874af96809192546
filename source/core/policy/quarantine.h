// Detects requests that crash the endpoints that run them.
#ifndef DAISYWIND_POLICY_QUARANTINE_H_
#define DAISYWIND_POLICY_QUARANTINE_H_

#include <map>
#include <set>
#include <span>
#include <vector>

#include "policy/types.h"

namespace daisywind::policy {

// A request body is quarantined when it was running in crashes of at least two
// endpoints and no other body was running in all of these crashes. A body that
// completes is cleared of all earlier crashes. Bodies under suspicion are sent
// to different endpoints, so that the next crash shows which of them caused it.
class quarantine {
 public:
  // Records a crash and the bodies that were running there. If many endpoints
  // of a failure domain crash within a short window, the domain is assumed to
  // have failed and the crashes are not held against any body.
  auto OnCrash(const endpoint_id& endpoint,
               const failure_domain_id& failure_domain,
               std::span<const digest> bodies,
               instant now) -> void;

  // Records that a body was completed.
  auto OnCompleted(const digest& body) -> void;

  // Merges the evidence of another gateway.
  auto Merge(const quarantine_message& message, instant now) -> void;

  // Returns the evidence collected since the last call, to be sent to the other
  // gateways.
  auto TakeMessage() -> quarantine_message;

  // Removes old evidence and expired quarantines.
  auto Advance(instant now) -> void;

  [[nodiscard]] auto IsQuarantined(const digest& body) const -> bool;

  // Whether a body was running in a crash and has not completed since then.
  [[nodiscard]] auto IsSuspect(const digest& body) const -> bool;

  [[nodiscard]] auto size() const -> std::size_t { return quarantined_.size(); }

 private:
  struct crash {
    endpoint_id endpoint;
    instant observed_at;
    std::set<digest> bodies;
  };
  struct domain_crash {
    failure_domain_id failure_domain;
    endpoint_id endpoint;
    instant at;
  };

  auto AddCrash(const crash_evidence& evidence) -> void;
  auto IsDomainFailure(const failure_domain_id& failure_domain) const -> bool;
  auto DropDomainEvidence(const failure_domain_id& failure_domain) -> void;
  auto Clear(const digest& body) -> void;
  auto UpdateQuarantined() -> void;
  [[nodiscard]] auto CrashesOf(const digest& body) const
      -> std::vector<const crash*>;

  std::vector<crash> crashes_;
  std::vector<domain_crash> recent_crashes_;
  std::map<digest, instant> quarantined_;
  quarantine_message outbox_;
  instant now_;
};

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_QUARANTINE_H_
