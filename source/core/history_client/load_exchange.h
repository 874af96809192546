// Client side of the exchange of endpoint loads between VMs. Load samples are
// piggybacked on the requests to journal members and on their replies. Does no
// I/O and reads no clock.
#ifndef DAISYWIND_HISTORY_CLIENT_LOAD_EXCHANGE_H_
#define DAISYWIND_HISTORY_CLIENT_LOAD_EXCHANGE_H_

#include <functional>
#include <string>
#include <unordered_map>

#include "common/time.h"
#include "history/load_change_feed.h"
#include "history/messages.h"
#include "history/view.h"

namespace daisywind::history {

// Called for each load sample that another VM has reported, with the time at
// which it was received.
using load_handler =
    std::function<void(const load_sample& sample, instant now)>;

class load_exchange {
 public:
  explicit load_exchange(load_handler on_load);

  // Stores a sample that an endpoint reported to this VM.
  auto AddSample(const load_sample& sample, instant now) -> void;

  // Stores that an endpoint has failed a request of this VM.
  auto ReportFailure(endpoint_key endpoint, instant now) -> void;

  // Adds the samples that the member has not been sent yet. Asks the nearest
  // member for the samples of other VMs at most every 100 ms.
  auto AttachLoads(begin_request& request,
                   const member& to,
                   bool is_nearest,
                   instant now) -> void;

  // Passes the samples in a reply to the load handler.
  auto ProcessReply(const begin_reply& reply, const member& from, instant now)
      -> void;

 private:
  // Positions in the two change feeds between this VM and a member.
  struct member_state {
    load_change_feed::sequence sent_up_to = 0;
    load_change_feed::sequence received_up_to = 0;
  };

  load_handler on_load_;
  load_change_feed local_changes_;
  // Keyed by address.
  std::unordered_map<std::string, member_state> members_;
  // Before this time, no member is asked for the samples of other VMs.
  instant earliest_load_request_{};
};

}  // namespace daisywind::history

#endif  // DAISYWIND_HISTORY_CLIENT_LOAD_EXCHANGE_H_
