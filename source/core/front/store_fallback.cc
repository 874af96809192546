#include "front/store_fallback.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <utility>

#include "common/process_clock.h"

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
    const auto is_needed = is_urgent || options_.asks_while_configured;
    if (!is_stopped_ && is_needed && !service_directory_.IsStoreReachable()) {
      co_await RequestCopies();
    } else {
      // The store is reachable, so the connections to journals are not needed.
      clients_.Clear();
    }
  }
}

struct store_fallback::copy_round {
  explicit copy_round(asio::io_context& context) : wake(context) {}

  auto OnReply(std::optional<history::message_body> reply) -> void {
    --pending;
    auto* received =
        reply ? std::get_if<history::copy_reply>(&*reply) : nullptr;
    const auto is_newest =
        received != nullptr && received->copy &&
        (!newest || received->copy->revision_at > newest->revision_at);
    if (is_newest) {
      settles_at = newest ? settles_at : Now() + settle_time;
      newest = std::move(*received->copy);
      newest_as_of = AsOf(*received);
    }
    wake.cancel();
  }

  // The reply's copy has all that the store had acknowledged at this time.
  [[nodiscard]] auto AsOf(const history::copy_reply& reply) const
      -> std::optional<instant> {
    return reply.proof_age ? std::optional(sent_at - *reply.proof_age)
                           : std::nullopt;
  }

  asio::steady_timer wake;
  instant sent_at = Now();
  duration settle_time{};
  std::size_t pending = 0;
  std::optional<history::store_copy> newest;
  std::optional<instant> newest_as_of;
  // Set with the first copy.
  instant settles_at = instant::max();
};

auto store_fallback::RequestCopies() -> asio::awaitable<void> {
  const auto round = std::make_shared<copy_round>(context_);
  round->settle_time = options_.settle_time;
  for (const auto& address : JournalAddresses()) {
    ++round->pending;
    clients_.ClientFor(address)->SendRequest(
        0, history::copy_request{service_directory_.revision_at()},
        options_.request_timeout,
        [round](std::optional<history::message_body> reply) {
          round->OnReply(std::move(reply));
        });
  }
  // Each request ends by its own time-out.
  while (round->pending > 0 && Now() < round->settles_at) {
    const auto remaining =
        std::min(round->settles_at - Now(), options_.request_timeout);
    round->wake.expires_after(remaining);
    co_await round->wake.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  if (is_stopped_) {
    co_return;
  }
  if (round->newest) {
    service_directory_.ImportCopy(*round->newest);
  }
  if (round->newest_as_of) {
    service_directory_.ImportProof(*round->newest_as_of);
  }
}

auto store_fallback::JournalAddresses() const -> std::vector<std::string> {
  auto addresses = seeds_;
  for (const auto& item : turns_.current().members) {
    if (std::find(addresses.begin(), addresses.end(), item.address) ==
        addresses.end()) {
      addresses.push_back(item.address);
    }
  }
  return addresses;
}

}  // namespace daisywind::front
