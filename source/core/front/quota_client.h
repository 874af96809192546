// Takes parts of organisations' request limits from the journals.
#ifndef DAISYWIND_FRONT_QUOTA_CLIENT_H_
#define DAISYWIND_FRONT_QUOTA_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <compare>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "common/ids.h"
#include "common/time.h"
#include "history_client/member_client.h"
#include "history_client/quota_credits.h"
#include "history_client/turn_client.h"

namespace daisywind::front {

struct quota_client_options {
  // How long a request waits for a credit, and a member for its reply.
  duration timeout = 400ms;
  // Another member is asked when one has not replied for this long.
  duration hedge_delay = 100ms;
};

// Whether a request may be admitted.
struct quota_result {
  history::quota_state state = history::quota_state::kUnknown;
  // Set if it is granted.
  std::optional<history::quota_credit> credit;
  // Time until there is room again if the limit is used up.
  duration retry_after{};

  auto operator<=>(const quota_result&) const = default;
};

// The turn client, which knows the members, must outlive it. All calls must be
// made on the context's thread.
class quota_client {
 public:
  quota_client(boost::asio::io_context& context,
               vm_id self,
               history::turn_client& turns,
               quota_client_options options);
  quota_client(const quota_client&) = delete;
  auto operator=(const quota_client&) -> quota_client& = delete;
  ~quota_client();

  // Takes a credit for one request of an organisation that has a limit. Asks
  // the members if this front holds none.
  auto Acquire(organisation_id organisation, history::request_limit limit)
      -> boost::asio::awaitable<quota_result>;

  // Gives back the credit of a request that was not sent to any endpoint.
  auto Return(const organisation_id& organisation,
              const history::quota_credit& credit) -> void;

  auto Tick(instant now) -> void;

 private:
  struct waiter;
  struct pending_request;

  auto Wait(const organisation_id& organisation)
      -> boost::asio::awaitable<quota_result>;
  // Asks the members of the newest view from now on.
  auto UpdateMembers() -> void;
  // Sends what is to be asked to all members without a request under way.
  auto SendRequests() -> void;
  auto Send(const std::string& member, history::quota_request request) -> void;
  auto OnReply(const std::string& member,
               const pending_request& pending,
               std::optional<history::message_body> reply) -> void;
  // Wakes the waiting requests that have a result.
  auto ServeWaiters() -> void;

  boost::asio::io_context& context_;
  vm_id self_;
  history::turn_client& turns_;
  quota_client_options options_;
  history::quota_credits credits_;
  history::view_number view_ = 0;
  bool had_quorum_ = true;
  std::unordered_map<organisation_id, std::deque<std::shared_ptr<waiter>>>
      waiting_;
  // By the member's address.
  std::map<std::string, std::shared_ptr<pending_request>> pending_;
};

}  // namespace daisywind::front

#endif  // DAISYWIND_FRONT_QUOTA_CLIENT_H_
