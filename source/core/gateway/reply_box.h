// Replies of the program system on their way to waiting HTTP handlers.
#ifndef DAISYWIND_GATEWAY_REPLY_BOX_H_
#define DAISYWIND_GATEWAY_REPLY_BOX_H_

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
class reply_box {
 public:
  explicit reply_box(boost::asio::io_context& context);

  // Adds a reply and wakes the handler.
  auto Push(reply_item item) -> void;

  // The next reply, or nothing when none came within the bound.
  auto Next(duration bound)
      -> boost::asio::awaitable<std::optional<reply_item>>;

 private:
  boost::asio::steady_timer wake_;
  std::deque<reply_item> items_;
};

// The boxes of all requests that wait at this VM.
class reply_table {
 public:
  explicit reply_table(boost::asio::io_context& context);

  // Opens a box under a new request identifier.
  auto Open() -> std::pair<program::request_id, std::shared_ptr<reply_box>>;

  // Hands a reply to its box. A reply to a closed box is dropped.
  auto Push(program::request_id request, reply_item item) -> void;

  // Forgets a request.
  auto Close(program::request_id request) -> void;

  // Number of open boxes.
  [[nodiscard]] auto Count() const -> std::size_t { return boxes_.size(); }

 private:
  boost::asio::io_context& context_;
  program::request_id last_ = 0;
  std::map<program::request_id, std::shared_ptr<reply_box>> boxes_;
};

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_REPLY_BOX_H_
