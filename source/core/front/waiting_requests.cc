#include "front/waiting_requests.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <chrono>

#include "common/process_clock.h"

namespace daisywind::front {

namespace asio = boost::asio;

auto waiting_requests::Join(const dispatch::service_id& service,
                            const dispatch::waiting_order& order)
    -> std::optional<dispatch::waiting_order> {
  return lines_[service].order.Join(order);
}

auto waiting_requests::Leave(const dispatch::service_id& service,
                             const dispatch::waiting_order& position) -> void {
  auto& line = lines_[service];
  line.order.Leave(position);
  WakeFirst(line);
}

auto waiting_requests::IsNext(const dispatch::service_id& service,
                              const dispatch::waiting_order& position) const
    -> bool {
  const auto found = lines_.find(service);
  return found == lines_.end() || found->second.order.IsNext(position);
}

auto waiting_requests::Sleep(dispatch::service_id service,
                             dispatch::waiting_order position,
                             instant until) -> asio::awaitable<void> {
  auto timer = asio::steady_timer(context_);
  timer.expires_after(std::max(until - Now(), duration(0)));
  lines_[service].sleeping.insert_or_assign(position.sequence, &timer);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  lines_[service].sleeping.erase(position.sequence);
}

auto waiting_requests::WakeFirst(const dispatch::service_id& service) -> void {
  if (const auto found = lines_.find(service); found != lines_.end()) {
    WakeFirst(found->second);
  }
}

auto waiting_requests::WakeFirstOfAll() -> void {
  for (auto& [service, line] : lines_) {
    WakeFirst(line);
  }
}

auto waiting_requests::Wake(const dispatch::service_id& service,
                            const dispatch::waiting_order& position) -> void {
  if (const auto found = lines_.find(service); found != lines_.end()) {
    Wake(found->second, position.sequence);
  }
}

auto waiting_requests::Wake(service_line& line, std::uint64_t sequence)
    -> void {
  const auto found = line.sleeping.find(sequence);
  if (found != line.sleeping.end()) {
    found->second->cancel();
  }
}

auto waiting_requests::WakeFirst(service_line& line) -> void {
  if (const auto first = line.order.First()) {
    Wake(line, first->sequence);
  }
}

}  // namespace daisywind::front
