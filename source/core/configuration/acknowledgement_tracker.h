// Tracks which version is installed on each VM. Each VM reports its version to
// the watchers of its failure domain; a status query asks one watcher per
// domain.
#ifndef DAISYWIND_CONFIGURATION_ACKNOWLEDGEMENT_TRACKER_H_
#define DAISYWIND_CONFIGURATION_ACKNOWLEDGEMENT_TRACKER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "configuration/system_state.h"

namespace daisywind::configuration {

class acknowledgement_tracker {
 public:
  explicit acknowledgement_tracker(system_state& state) : state_(&state) {}

  auto HandleAcknowledge(const acknowledge_message& content, instant now)
      -> void;
  // Answers another VM that processes a status query.
  auto HandlePeerRequest(const vm_ref& from,
                         const status_request& content,
                         instant now) -> void;
  auto HandleResponse(const status_response& content) -> void;
  // Starts a status query that was requested at this VM.
  auto HandleStatusQuery(const status_requested& request, instant now) -> void;

  // Sends this VM's own acknowledgement when it has changed or is due for
  // repetition, and advances pending queries.
  auto Advance(instant now) -> void;

 private:
  struct query {
    status_requested request;
    instant started_at;
    std::size_t attempts = 0;
    std::set<failure_domain_id> unanswered;
    std::map<vm_id, acknowledgement> states;
  };

  // The newest acknowledgement of a VM and the time of its receipt.
  struct received_state {
    acknowledgement state;
    instant received_at;
  };

  [[nodiscard]] auto OwnAcknowledgement(instant now) const -> acknowledgement;
  auto SendAcknowledgement(instant now) -> void;
  auto Record(const acknowledgement& state, instant now) -> void;
  // Removes VMs that are not members and have sent no acknowledgement within
  // the retention time.
  auto RemoveDeparted(instant now) -> void;
  auto MergeResponse(query& item, const std::vector<acknowledgement>& states)
      -> void;
  auto AskWatchers(std::uint64_t id, query& item) -> void;
  // Returns true when the reply has been sent.
  auto Proceed(std::uint64_t id, query& item, instant now) -> bool;
  auto Reply(const query& item) -> void;

  system_state* state_;
  std::map<vm_id, received_state> table_;
  std::map<std::uint64_t, query> queries_;
  version_ref own_ref_;
  std::int64_t own_spread_ms_ = -1;
  std::vector<member> notified_watchers_;
  instant send_at_;
  // Delay until the next repetition; doubles after each one up to a maximum.
  duration repeat_delay_{};
};

}  // namespace daisywind::configuration

#endif  // DAISYWIND_CONFIGURATION_ACKNOWLEDGEMENT_TRACKER_H_
