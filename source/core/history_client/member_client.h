// Request client for the members of the journal view.
#ifndef DAISYWIND_HISTORY_CLIENT_MEMBER_CLIENT_H_
#define DAISYWIND_HISTORY_CLIENT_MEMBER_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "common/time.h"
#include "history/messages.h"
#include "history/view.h"

namespace daisywind::history {

// Receives the reply, or nothing when none came, in which case the request may
// or may not have been executed.
using reply_handler = std::function<void(std::optional<message_body> reply)>;

// Requests to one member over one connection, which is reopened when needed.
class member_client {
 public:
  struct state;

  // The address has the form "ip:port".
  member_client(boost::asio::io_context& context, const std::string& address);
  member_client(const member_client&) = delete;
  auto operator=(const member_client&) -> member_client& = delete;
  ~member_client();

  // Sends a request. The handler is called exactly once, never from within
  // SendRequest.
  auto SendRequest(view_number view,
                   message_body body,
                   duration timeout,
                   reply_handler handler) -> void;

  // Sends a request and waits for its reply. Returns nothing when none came
  // within the timeout.
  auto SendAndWait(view_number view, message_body body, duration timeout)
      -> boost::asio::awaitable<std::optional<message_body>>;

  // Likewise for a long reply: the timeout starts anew, at most ten times, when
  // bytes have arrived in it. Those of other replies count as well, so the
  // connection should carry one request at a time.
  auto SendAndWaitForLong(view_number view, message_body body, duration timeout)
      -> boost::asio::awaitable<std::optional<message_body>>;

  // Number of timeouts and connection failures since the last reply.
  [[nodiscard]] auto failures() const -> std::uint32_t;

  // Number of bytes received, also in replies that came too late.
  [[nodiscard]] auto ReceivedBytes() const -> std::uint64_t;

 private:
  std::shared_ptr<state> state_;
};

// The clients of several members by address.
class member_clients {
 public:
  explicit member_clients(boost::asio::io_context& context)
      : context_(context) {}

  // Returns the client for an address, creating it on first use.
  auto ClientFor(const std::string& address) -> std::shared_ptr<member_client>;

  // Whether requests to a member have failed since its last reply.
  [[nodiscard]] auto HasFailed(const std::string& address) const -> bool;

  // Closes connections to VMs that are not members of the view.
  auto CloseNonMembers(const view& current) -> void;

  auto Clear() -> void { clients_.clear(); }

 private:
  boost::asio::io_context& context_;
  std::map<std::string, std::shared_ptr<member_client>> clients_;
};

}  // namespace daisywind::history

#endif  // DAISYWIND_HISTORY_CLIENT_MEMBER_CLIENT_H_
