// Queues of replies from the program system to the waiting HTTP handlers.
#ifndef DAISYWIND_GATEWAY_REPLY_QUEUE_H_
#define DAISYWIND_GATEWAY_REPLY_QUEUE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <variant>

#include "common/time.h"
#include "program/commands.h"

namespace daisywind::gateway {

using reply_item = std::variant<program::reply_head,
                                program::reply_part,
                                program::reply_end,
                                program::reply_problem,
                                program::reply_view>;

// The replies to one request, in order.
class reply_queue {
 public:
  explicit reply_queue(boost::asio::io_context& context);

  // Appends a reply and wakes the handler.
  auto Push(reply_item item) -> void;

  // Removes and returns the next reply, or nothing when none arrives within the
  // timeout.
  auto Next(duration timeout)
      -> boost::asio::awaitable<std::optional<reply_item>>;

 private:
  // Cancelled to wake the handler.
  boost::asio::steady_timer wake_;
  std::deque<reply_item> items_;
};

// The reply queues of all requests in progress on this VM.
class reply_table {
 public:
  explicit reply_table(boost::asio::io_context& context);

  // Creates a queue with a new request identifier.
  auto Open() -> std::pair<program::request_id, std::shared_ptr<reply_queue>>;

  // Appends a reply to the queue of a request. Drops a reply to a closed
  // request.
  auto Push(program::request_id request, reply_item item) -> void;

  // Removes the queue of a request.
  auto Close(program::request_id request) -> void;

  // Number of open requests.
  [[nodiscard]] auto Count() const -> std::size_t { return queues_.size(); }

 private:
  boost::asio::io_context& context_;
  program::request_id last_id_ = 0;
  std::map<program::request_id, std::shared_ptr<reply_queue>> queues_;
};

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_REPLY_QUEUE_H_
