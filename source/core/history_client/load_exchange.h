// One VM's side of the exchange of endpoint loads: what goes along with
// requests to the VMs that hold facts, and what comes back. Without I/O or
// clock.
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

// Gets each sample that other VMs have told, and when it was told.
using load_handler =
    std::function<void(const load_sample& sample, instant now)>;

class load_exchange {
 public:
  explicit load_exchange(load_handler on_load);

  // Takes note of what an endpoint said to this VM.
  auto Note(const load_sample& sample, instant now) -> void;

  // Takes note that an endpoint has failed a request of this VM.
  auto ReportFailure(endpoint_key endpoint, instant now) -> void;

  // Adds to a request what the member has not been told yet. From the nearest
  // member, news are asked for at most every 100 ms.
  auto AddTo(begin_request& request,
             const member& to,
             bool is_nearest,
             instant now) -> void;

  // Hands over what a reply holds.
  auto Take(const begin_reply& reply, const member& from, instant now) -> void;

 private:
  struct member_state {
    load_change_feed::sequence told = 0;
    load_change_feed::sequence known = 0;
  };

  load_handler on_load_;
  load_change_feed own_;
  // By address.
  std::unordered_map<std::string, member_state> members_;
  instant ask_at_{};
};

}  // namespace daisywind::history

#endif  // DAISYWIND_HISTORY_CLIENT_LOAD_EXCHANGE_H_
