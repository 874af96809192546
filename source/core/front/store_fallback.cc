#include "front/store_fallback.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <utility>

namespace daisywind::front {

namespace asio = boost::asio;

store_fallback::store_fallback(asio::io_context& context,
                               directory& service_directory,
                               history::turn_client& turns,
                               std::vector<std::string> seeds,
                               store_fallback_options options)
    : context_(context),
      service_directory_(service_directory),
      turns_(turns),
      seeds_(std::move(seeds)),
      options_(options),
      timer_(context),
      clients_(context) {}

auto store_fallback::Start() -> void {
  asio::co_spawn(context_, Run(), asio::detached);
}

auto store_fallback::Stop() -> void {
  is_stopped_ = true;
  timer_.cancel();
}

auto store_fallback::Run() -> asio::awaitable<void> {
  while (!is_stopped_) {
    const auto is_urgent = !service_directory_.IsConfigured();
    timer_.expires_after(is_urgent ? options_.urgent_interval
                                   : options_.interval);
    co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
    if (!is_stopped_ && !service_directory_.IsStoreReachable()) {
      co_await RequestCopies();
    } else {
      // The store is reachable, so the connections to journals are not needed.
      clients_.Clear();
    }
  }
}

auto store_fallback::RequestCopies() -> asio::awaitable<void> {
  for (const auto& address : JournalAddresses()) {
    const auto client = clients_.ClientFor(address);
    const auto reply = co_await client->SendAndWait(
        0, history::copy_request{service_directory_.revision_at()},
        options_.request_timeout);
    const auto* received =
        reply ? std::get_if<history::copy_reply>(&*reply) : nullptr;
    if (received != nullptr && received->copy && !is_stopped_) {
      service_directory_.ImportCopy(*received->copy);
    }
  }
}

auto store_fallback::JournalAddresses() const -> std::vector<std::string> {
  auto addresses = seeds_;
  for (const auto& item : turns_.current().members) {
    addresses.push_back(item.address);
  }
  return addresses;
}

}  // namespace daisywind::front
