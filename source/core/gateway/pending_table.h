// Requests of HTTP handlers that a decision library answers later.
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

// Answers of one type by request identifier.
template <class Answer>
class pending_table {
 public:
  explicit pending_table(boost::asio::io_context& context)
      : context_(context) {}

  // Opens a request under a new identifier.
  auto Open() -> std::uint64_t {
    slots_.emplace(++last_, std::make_shared<slot>(context_));
    return last_;
  }

  // Hands over an answer. One to an unknown request is dropped.
  auto Resolve(std::uint64_t request, Answer answer) -> void {
    const auto found = slots_.find(request);
    if (found != slots_.end()) {
      found->second->answer = std::move(answer);
      found->second->wake.cancel();
    }
  }

  // Waits for the answer and forgets the request. Nothing when the bound has
  // passed first.
  auto Wait(std::uint64_t request, duration bound)
      -> boost::asio::awaitable<std::optional<Answer>> {
    const auto entry = slots_.at(request);
    if (!entry->answer) {
      entry->wake.expires_after(bound);
      co_await entry->wake.async_wait(
          boost::asio::as_tuple(boost::asio::use_awaitable));
    }
    slots_.erase(request);
    co_return std::move(entry->answer);
  }

 private:
  struct slot {
    explicit slot(boost::asio::io_context& context) : wake(context) {}

    boost::asio::steady_timer wake;
    std::optional<Answer> answer;
  };

  boost::asio::io_context& context_;
  std::uint64_t last_ = 0;
  std::map<std::uint64_t, std::shared_ptr<slot>> slots_;
};

}  // namespace daisywind::gateway

#endif  // DAISYWIND_GATEWAY_PENDING_TABLE_H_
