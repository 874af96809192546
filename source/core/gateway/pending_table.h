// Pending requests of HTTP handlers to a decision library, which answers
// asynchronously.
#ifndef DAISYWIND_GATEWAY_PENDING_TABLE_H_
#define DAISYWIND_GATEWAY_PENDING_TABLE_H_

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "common/time.h"

namespace daisywind::gateway {

// Pending requests by identifier, whose answers are all of one type.
template <class Answer>
class pending_table {
 public:
  explicit pending_table(boost::asio::io_context& context)
      : context_(context) {}

  // Opens a request under a new identifier.
  auto Open() -> std::uint64_t {
    requests_.emplace(++last_id_, std::make_shared<pending_request>(context_));
    return last_id_;
  }

  // Delivers an answer and wakes the waiting handler. Drops an answer to an
  // unknown request.
  auto Resolve(std::uint64_t request, Answer answer) -> void {
    const auto found = requests_.find(request);
    if (found != requests_.end()) {
      found->second->answer = std::move(answer);
      found->second->wake.cancel();
    }
  }

  // Waits for the answer and removes the request. Returns nothing when the
  // timeout expires first.
  auto Wait(std::uint64_t request, duration timeout)
      -> boost::asio::awaitable<std::optional<Answer>> {
    const auto entry = requests_.at(request);
    if (!entry->answer) {
      entry->wake.expires_after(timeout);
      co_await entry->wake.async_wait(
          boost::asio::as_tuple(boost::asio::use_awaitable));
    }
    requests_.erase(request);
    co_return std::move(entry->answer);
  }

 private:
  struct pending_request {
    explicit pending_request(boost::asio::io_context& context)
        : wake(context) {}

    boost::asio::steady_timer wake;
    std::optional<Answer> answer;
  };

  boost::asio::io_context& context_;
  std::uint64_t last_id_ = 0;
  std::map<std::uint64_t, std::shared_ptr<pending_request>> requests_;
};

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_PENDING_TABLE_H_
