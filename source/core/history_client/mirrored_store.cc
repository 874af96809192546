#include "history_client/mirrored_store.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <cstdint>
#include <utility>

#include "common/log_values.h"
#include "common/logging.h"
#include "common/process_clock.h"

namespace daisywind::history {
namespace {

namespace asio = boost::asio;

auto ChangesFrom(const copy_reply& reply,
                 kv::revision after,
                 std::optional<instant> as_of) -> kv::change_list {
  auto list = kv::change_list{{}, after, false};
  list.as_of = as_of;
  if (!reply.copy) {
    return list;
  }
  list.next = reply.copy->revision_at;
  list.is_snapshot = !reply.has_only_changes;
  for (const auto& item : reply.copy->items) {
    list.changes.push_back({item, /*is_removed=*/false});
  }
  for (const auto& key : reply.removed) {
    list.changes.push_back({{key, "", 0, list.next}, /*is_removed=*/true});
  }
  return list;
}

auto ListingFrom(kv::change_list changes) -> kv::listing {
  auto all = kv::listing{{}, changes.next, changes.as_of};
  all.items.reserve(changes.changes.size());
  for (auto& change : changes.changes) {
    all.items.push_back(std::move(change.item));
  }
  return all;
}

}  // namespace

auto MirroredStoreOptionsFor(duration time_limit) -> mirrored_store_options {
  auto options = mirrored_store_options{};
  options.poll_interval = time_limit / 10;
  // Longer than the time between two answers of the store to a journal (see
  // kv::RelayingWatchOptionsFor), and short enough for a call to the store
  // itself within the rest of the limit.
  options.max_age = 3 * time_limit / 5;
  return options;
}

auto WithProofs(mirrored_store_options options, duration max_age)
    -> mirrored_store_options {
  options.max_proof_age = 3 * max_age / 10;
  options.poll_interval = std::min(options.poll_interval, max_age / 20);
  // Includes journals of other regions, as the store may turn away those of one
  // region.
  options.max_journals = 4;
  options.retry_after = max_age / 10;
  options.source_retry_after = 2s;
  return options;
}

mirrored_store::mirrored_store(asio::io_context& context,
                               kv::store& source,
                               region_id region,
                               std::function<const view&()> current_view,
                               mirrored_store_options options)
    : context_(context),
      source_(source),
      region_(std::move(region)),
      current_view_(std::move(current_view)),
      options_(options),
      random_(SystemSeed()),
      clients_(context) {}

auto mirrored_store::Read(std::string key)
    -> asio::awaitable<kv::store_result<std::optional<kv::key_value>>> {
  return source_.Read(std::move(key));
}

auto mirrored_store::List(std::string prefix)
    -> asio::awaitable<kv::store_result<kv::listing>> {
  if (!prefix.empty()) {
    co_return co_await source_.List(std::move(prefix));
  }
  // An older copy would bring back what is known to have changed.
  auto copy = co_await RequestFromAny(0);
  if (copy && copy->next > 0 && copy->next >= newest_revision_) {
    newest_revision_ = copy->next;
    co_return kv::store_result<kv::listing>{
        kv::outcome::kAnswered, ListingFrom(std::move(*copy)), std::string()};
  }
  auto result = co_await source_.List(std::move(prefix));
  if (result.value) {
    source_answered_at_ = Now();
    newest_revision_ = std::max(newest_revision_, result.value->revision_at);
  }
  co_return result;
}

auto mirrored_store::Write(kv::txn_request request)
    -> asio::awaitable<kv::store_result<bool>> {
  return source_.Write(std::move(request));
}

auto mirrored_store::WaitForChanges(std::string prefix,
                                    kv::revision after,
                                    duration wait)
    -> asio::awaitable<kv::store_result<kv::change_list>> {
  const auto end = Now() + wait;
  auto timer = asio::steady_timer(context_);
  while (prefix.empty()) {
    if (options_.max_proof_age) {
      co_await WaitForPoll();
    }
    auto list = co_await RequestFromAny(after);
    if (!list) {
      break;
    }
    newest_revision_ = std::max(newest_revision_, list->next);
    const auto remaining = end - Now();
    if (!list->changes.empty() || list->is_snapshot ||
        remaining <= duration(0) || options_.max_proof_age) {
      co_return kv::store_result<kv::change_list>{
          kv::outcome::kAnswered, std::move(list), std::string()};
    }
    timer.expires_after(std::min(options_.poll_interval, remaining));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  const auto has_all_keys = prefix.empty();
  if (has_all_keys && Now() < source_retry_at_) {
    co_return kv::store_result<kv::change_list>{
        kv::outcome::kNotSent, std::nullopt, "failed a moment ago"};
  }
  auto result = kv::store_result<kv::change_list>{};
  if (has_all_keys && must_list_) {
    result = co_await ListAsChanges();
  } else {
    result = co_await source_.WaitForChanges(
        std::move(prefix), after, std::max(end - Now(), duration(0)));
  }
  must_list_ = result.value
                   ? false
                   : must_list_ || (options_.max_proof_age &&
                                    result.outcome == kv::outcome::kUnknown);
  if (has_all_keys && result.value && !result.value->is_history_lost) {
    source_answered_at_ = Now();
    newest_revision_ = std::max(newest_revision_, result.value->next);
  }
  if (has_all_keys && !result.value) {
    source_retry_at_ = Now() + options_.source_retry_after;
  }
  co_return result;
}

auto mirrored_store::ListAsChanges()
    -> asio::awaitable<kv::store_result<kv::change_list>> {
  auto all = co_await source_.List(std::string());
  auto result = kv::store_result<kv::change_list>{all.outcome, std::nullopt,
                                                  std::move(all.error)};
  if (all.value) {
    auto& list = result.value.emplace();
    list.next = all.value->revision_at;
    list.is_snapshot = true;
    list.as_of = all.value->as_of;
    for (auto& item : all.value->items) {
      list.changes.push_back({std::move(item), /*is_removed=*/false});
    }
  }
  co_return result;
}

auto mirrored_store::AreJournalsOutdated(instant now) const -> bool {
  constexpr auto kRecent = duration(2s);
  return outdated_at_ > served_at_ && now - outdated_at_ < kRecent;
}

auto mirrored_store::WaitForPoll() -> asio::awaitable<void> {
  const auto next_poll = polled_at_ + options_.poll_interval;
  if (const auto wait = next_poll - Now(); wait > duration(0)) {
    auto timer = asio::steady_timer(context_);
    timer.expires_after(wait);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  polled_at_ = Now();
}

auto mirrored_store::SourceAge(instant now) const -> std::optional<duration> {
  return source_answered_at_ ? std::optional(now - *source_answered_at_)
                             : std::nullopt;
}

auto mirrored_store::RequestFromAny(kv::revision after)
    -> asio::awaitable<std::optional<kv::change_list>> {
  for (auto asked = std::size_t{0}; asked < options_.max_journals; ++asked) {
    auto address = NextJournal();
    if (!address) {
      break;
    }
    auto list = co_await RequestChanges(*address, after);
    if (list) {
      last_journal_ = std::move(*address);
      co_return list;
    }
    excluded_until_[*address] = Now() + options_.retry_after;
  }
  co_return std::nullopt;
}

auto mirrored_store::RequestChanges(std::string address, kv::revision after)
    -> asio::awaitable<std::optional<kv::change_list>> {
  const auto sent_at = Now();
  const auto client = clients_.ClientFor(address);
  const auto bytes_before = client->ReceivedBytes();
  auto request = copy_request{after, /*wants_changes=*/true,
                              /*takes_deflated=*/true};
  const auto reply =
      co_await client->SendAndWaitForLong(0, request, options_.request_timeout);
  const auto* received = reply ? std::get_if<copy_reply>(&*reply) : nullptr;
  // The copy's age counts from when the request was sent, as the reply may have
  // been on its way for long.
  const auto age = received != nullptr && received->store_age
                       ? std::optional(*received->store_age + (Now() - sent_at))
                       : std::nullopt;
  const auto as_of = received != nullptr && received->proof_age
                         ? std::optional(sent_at - *received->proof_age)
                         : std::nullopt;
  const auto is_proven = !options_.max_proof_age ||
                         (as_of && Now() - *as_of <= *options_.max_proof_age);
  // Newer keys serve even if their transfer took long. Whether more have come
  // since is asked next.
  const auto is_newer = age && received->copy;
  const auto is_served =
      is_newer || (age && *age <= options_.max_age && is_proven);
  if (received != nullptr) {
    (is_served ? served_at_ : outdated_at_) = Now();
  }
  if (!is_served) {
    Log(log_events::kMirrorUnused,
        {{"journal", std::string_view(address)},
         {"is_answered", received != nullptr},
         {"took_ms", Milliseconds(Now() - sent_at)},
         {"bytes",
          static_cast<std::int64_t>(client->ReceivedBytes() - bytes_before)},
         {"store_age_ms", Milliseconds(age)},
         {"is_proven", is_proven}});
    co_return std::nullopt;
  }
  co_return ChangesFrom(*received, after, as_of);
}

auto mirrored_store::NextJournal() -> std::optional<std::string> {
  const auto& members = current_view_().members;
  clients_.CloseNonMembers(current_view_());
  const auto now = Now();
  std::erase_if(excluded_until_,
                [&](const auto& item) { return item.second <= now; });
  const auto is_near = [this](const member& member) {
    return member.region == region_;
  };
  const auto has_near = std::any_of(members.begin(), members.end(), is_near);
  auto candidates = std::vector<std::string>{};
  auto far = std::vector<std::string>{};
  for (const auto& member : members) {
    if (excluded_until_.contains(member.address)) {
      continue;
    }
    if (has_near && !is_near(member)) {
      far.push_back(member.address);
      continue;
    }
    if (member.address == last_journal_) {
      return last_journal_;
    }
    candidates.push_back(member.address);
  }
  if (candidates.empty() && options_.max_proof_age) {
    candidates = std::move(far);
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  return candidates[random_.UniformBelow(candidates.size())];
}

}  // namespace daisywind::history
