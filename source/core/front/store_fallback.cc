#include "front/store_fallback.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

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

// A journal's copy.
struct store_fallback::copy_offer {
  std::string address;
  kv::revision revision_at = 0;
  // Journals of earlier versions send it with their first reply.
  std::optional<history::store_copy> copy;
  std::optional<instant> as_of;
};

// What journals reply when they are asked for the revisions of their copies.
struct store_fallback::copy_round {
  explicit copy_round(asio::io_context& context) : wake(context) {}

  auto OnReply(const std::string& address,
               std::optional<history::message_body> reply) -> void {
    --pending;
    auto* received =
        reply ? std::get_if<history::copy_reply>(&*reply) : nullptr;
    if (received != nullptr) {
      const auto revision_at =
          received->copy ? received->copy->revision_at : received->revision_at;
      const auto as_of = AsOf(*received, sent_at);
      if (revision_at > known) {
        settles_at = std::min(settles_at, Now() + settle_time);
        offers.push_back(
            {address, revision_at, std::move(received->copy), as_of});
      }
    }
    wake.cancel();
  }

  // A reply's copy has all that the store had acknowledged at this time.
  static auto AsOf(const history::copy_reply& reply, instant asked_at)
      -> std::optional<instant> {
    return reply.proof_age ? std::optional(asked_at - *reply.proof_age)
                           : std::nullopt;
  }

  asio::steady_timer wake;
  instant sent_at = Now();
  duration settle_time{};
  kv::revision known = 0;
  std::size_t pending = 0;
  // Copies that are newer than what is known, in the order of the replies.
  std::vector<copy_offer> offers;
  // Set with the first offer.
  instant settles_at = instant::max();
};

auto store_fallback::RequestCopies() -> asio::awaitable<void> {
  const auto round = std::make_shared<copy_round>(context_);
  round->settle_time = options_.settle_time;
  round->known = service_directory_.revision_at();
  auto request = history::copy_request{round->known};
  request.takes_deflated = true;
  request.wants_revision = true;
  for (const auto& address : JournalAddresses()) {
    ++round->pending;
    clients_.ClientFor(address)->SendRequest(
        0, request, options_.request_timeout,
        [round, address](std::optional<history::message_body> reply) {
          round->OnReply(address, std::move(reply));
        });
  }
  // Each request ends by its own time-out.
  while (round->pending > 0 && Now() < round->settles_at) {
    const auto remaining =
        std::min(round->settles_at - Now(), options_.request_timeout);
    round->wake.expires_after(remaining);
    co_await round->wake.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  auto offers = std::exchange(round->offers, {});
  // The newest one first; of these, that of the journal that replied first.
  std::stable_sort(offers.begin(), offers.end(),
                   [](const auto& a, const auto& b) {
                     return a.revision_at > b.revision_at;
                   });
  auto is_taken = false;
  for (auto& offer : offers) {
    if (!is_stopped_ && !is_taken) {
      is_taken = co_await Take(std::move(offer), round->known);
    }
  }
}

auto store_fallback::Take(copy_offer from, kv::revision known)
    -> asio::awaitable<bool> {
  if (!from.copy) {
    const auto asked_at = Now();
    auto request = history::copy_request{known};
    request.takes_deflated = true;
    auto reply = co_await clients_.ClientFor(from.address)
                     ->SendAndWaitForLong(0, request, options_.request_timeout);
    auto* received =
        reply ? std::get_if<history::copy_reply>(&*reply) : nullptr;
    if (received == nullptr || !received->copy) {
      co_return false;
    }
    from.as_of = copy_round::AsOf(*received, asked_at);
    from.copy = std::move(received->copy);
  }
  if (!is_stopped_) {
    service_directory_.ImportCopy(*from.copy);
    if (from.as_of) {
      service_directory_.ImportProof(*from.as_of);
    }
  }
  co_return true;
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
