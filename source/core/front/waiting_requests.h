// Requests of this VM that wait for an engine with memory for them.
#ifndef DAISYWIND_FRONT_WAITING_REQUESTS_H_
#define DAISYWIND_FRONT_WAITING_REQUESTS_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

#include "common/time.h"
#include "dispatch/types.h"
#include "dispatch/waiting_line.h"

namespace daisywind::front {

class waiting_requests {
 public:
  explicit waiting_requests(boost::asio::io_context& context)
      : context_(context) {}

  // Adds a request to its service's line. Returns nothing when that is full.
  auto Join(const dispatch::service_id& service,
            const dispatch::waiting_order& order)
      -> std::optional<dispatch::waiting_order>;

  // Removes a request and wakes the next one.
  auto Leave(const dispatch::service_id& service,
             const dispatch::waiting_order& position) -> void;

  [[nodiscard]] auto IsNext(const dispatch::service_id& service,
                            const dispatch::waiting_order& position) const
      -> bool;

  // Waits until the request is woken or a time is reached.
  auto Sleep(dispatch::service_id service,
             dispatch::waiting_order position,
             instant until) -> boost::asio::awaitable<void>;

  // Wakes a request that is over.
  auto Wake(const dispatch::service_id& service,
            const dispatch::waiting_order& position) -> void;

  // Wakes the first request of a service's line, as when memory may be free.
  auto WakeFirst(const dispatch::service_id& service) -> void;
  auto WakeFirstOfAll() -> void;

 private:
  struct service_line {
    dispatch::waiting_line order;
    // Timers of the requests that sleep, by sequence.
    std::map<std::uint64_t, boost::asio::steady_timer*> sleeping;
  };

  static auto Wake(service_line& line, std::uint64_t sequence) -> void;
  static auto WakeFirst(service_line& line) -> void;

  boost::asio::io_context& context_;
  std::unordered_map<dispatch::service_id, service_line> lines_;
};

}  // namespace daisywind::front

#endif  // DAISYWIND_FRONT_WAITING_REQUESTS_H_
