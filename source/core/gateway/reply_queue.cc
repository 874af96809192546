#include "gateway/reply_queue.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace daisywind::gateway {

namespace asio = boost::asio;

reply_queue::reply_queue(asio::io_context& context) : wake_(context) {}

auto reply_queue::Push(reply_item item) -> void {
  items_.push_back(std::move(item));
  wake_.cancel();
}

auto reply_queue::Next(duration timeout)
    -> asio::awaitable<std::optional<reply_item>> {
  if (items_.empty()) {
    wake_.expires_after(timeout);
    co_await wake_.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  if (items_.empty()) {
    co_return std::nullopt;
  }
  auto item = std::move(items_.front());
  items_.pop_front();
  co_return item;
}

reply_table::reply_table(asio::io_context& context) : context_(context) {}

auto reply_table::Open()
    -> std::pair<program::request_id, std::shared_ptr<reply_queue>> {
  auto queue = std::make_shared<reply_queue>(context_);
  queues_.emplace(++last_id_, queue);
  return {last_id_, queue};
}

auto reply_table::Push(program::request_id request, reply_item item) -> void {
  const auto found = queues_.find(request);
  if (found != queues_.end()) {
    found->second->Push(std::move(item));
  }
}

auto reply_table::Close(program::request_id request) -> void {
  queues_.erase(request);
}

}  // namespace daisywind::gateway
