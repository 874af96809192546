// Finds requests that crash the endpoints that run them.
#ifndef DAISYWIND_POLICY_QUARANTINE_H_
#define DAISYWIND_POLICY_QUARANTINE_H_

#include <map>
#include <set>
#include <span>
#include <vector>

#include "policy/types.h"

namespace daisywind::policy {

// A body is quarantined when it ran in crashes of at least two endpoints and no
// other body ran in all of them. A body that completes is cleared of the
// crashes before. Suspects are kept apart, so that the next crash tells them
// apart.
class quarantine {
 public:
  // Records a crash and the bodies that ran there. Crashes of many endpoints
  // of a failure domain at once are no evidence against bodies.
  auto OnCrash(const endpoint_id& endpoint,
               const failure_domain_id& failure_domain,
               std::span<const digest> bodies,
               instant now) -> void;

  // Records that a body ran to its end.
  auto OnCompleted(const digest& body) -> void;

  // Takes another gateway's evidence.
  auto Merge(const quarantine_message& message, instant now) -> void;

  // Evidence since the last call.
  auto TakeMessage() -> quarantine_message;

  // Drops old evidence and lapsed quarantines.
  auto Advance(instant now) -> void;

  [[nodiscard]] auto IsQuarantined(const digest& body) const -> bool;

  // Whether a body ran in a crash and has not completed since.
  [[nodiscard]] auto IsSuspect(const digest& body) const -> bool;

  [[nodiscard]] auto size() const -> std::size_t { return quarantined_.size(); }

 private:
  struct crash {
    endpoint_id endpoint;
    instant window;
    std::set<digest> bodies;
  };
  struct domain_crash {
    failure_domain_id failure_domain;
    endpoint_id endpoint;
    instant at;
  };

  auto AddCrash(const crash_evidence& evidence) -> void;
  auto IsDomainFailure(const failure_domain_id& failure_domain) const -> bool;
  auto DropWindow(const failure_domain_id& failure_domain) -> void;
  auto Clear(const digest& body) -> void;
  auto Judge() -> void;
  [[nodiscard]] auto CrashesOf(const digest& body) const
      -> std::vector<const crash*>;

  std::vector<crash> crashes_;
  std::vector<domain_crash> recent_;
  std::map<digest, instant> quarantined_;
  quarantine_message outbox_;
  instant now_;
};

}  // namespace daisywind::policy

#endif  // DAISYWIND_POLICY_QUARANTINE_H_
