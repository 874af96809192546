// Gathers which version each VM has in force. Each VM tells the watchers of
// its failure domain, and a query asks one watcher of each domain.
#ifndef DAISYWIND_CONFIGURATION_ACKNOWLEDGEMENTS_H_
#define DAISYWIND_CONFIGURATION_ACKNOWLEDGEMENTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "configuration/system_state.h"

namespace daisywind::configuration {

class acknowledgements {
 public:
  explicit acknowledgements(system_state& state) : state_(&state) {}

  auto HandleAcknowledge(const acknowledge_message& content, instant now)
      -> void;
  auto HandleRequest(const vm_ref& from,
                     const status_request& content,
                     instant now) -> void;
  auto HandleResponse(const status_response& content) -> void;
  auto HandleQuery(const status_requested& request, instant now) -> void;

  // Sends this VM's own acknowledgement when it has changed or is due, and
  // goes on with queries.
  auto Advance(instant now) -> void;

 private:
  struct query {
    status_requested request;
    instant started_at;
    std::size_t attempts = 0;
    std::set<failure_domain_id> unanswered;
    std::map<vm_id, acknowledgement> states;
  };

  // What a VM has told, and when it was heard last.
  struct heard_state {
    acknowledgement state;
    instant heard_at;
  };

  [[nodiscard]] auto Own(instant now) const -> acknowledgement;
  auto SendOwn(instant now) -> void;
  auto Keep(const acknowledgement& state, instant now) -> void;
  // Forgets VMs that have left.
  auto ForgetGone(instant now) -> void;
  auto Take(query& item, const std::vector<acknowledgement>& states) -> void;
  auto AskWatchers(std::uint64_t id, query& item) -> void;
  // Returns true when the query is answered.
  auto Proceed(std::uint64_t id, query& item, instant now) -> bool;
  auto Reply(const query& item) -> void;

  system_state* state_;
  std::map<vm_id, heard_state> table_;
  std::map<std::uint64_t, query> queries_;
  version_ref own_ref_;
  std::int64_t own_spread_ms_ = -1;
  std::vector<member> told_;
  instant send_at_;
  // Time until the next repetition, longer after each.
  duration repeat_after_{};
};

}  // namespace daisywind::configuration

#endif  // DAISYWIND_CONFIGURATION_ACKNOWLEDGEMENTS_H_
