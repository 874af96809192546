#include "kv/store_watch.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "common/logging.h"
#include "common/process_clock.h"

namespace daisywind::kv {

namespace asio = boost::asio;

namespace {

auto BytesOf(const key_value& item) -> std::size_t {
  return item.key.size() + item.value.size();
}

}  // namespace

auto WatchOptionsFor(duration time_limit) -> watch_options {
  constexpr auto kMinInterval = duration(100ms);
  constexpr auto kMaxCoalesce = duration(1s);
  auto options = watch_options{};
  options.coalesce = std::clamp(time_limit / 5, kMinInterval, kMaxCoalesce);
  // The platform charges for each call, so a call takes all the time that the
  // pause before it and the allowance for its response leave.
  options.wait = std::max(time_limit - options.coalesce - kResponseAllowance,
                          options.coalesce);
  return options;
}

auto RelayingWatchOptionsFor(duration time_limit) -> watch_options {
  auto options = WatchOptionsFor(time_limit);
  options.lists_if_smaller = true;
  options.wait =
      std::min(options.wait, std::max(time_limit / 2, 2 * options.coalesce) -
                                 options.coalesce);
  return options;
}

auto WithMaxAge(watch_options options, duration max_age) -> watch_options {
  constexpr auto kCallsInMaxAge = 10;
  options.wait = std::min(options.wait, max_age / kCallsInMaxAge);
  options.coalesce = std::min(options.coalesce, max_age / (2 * kCallsInMaxAge));
  options.max_backoff = std::min(options.max_backoff, max_age / kCallsInMaxAge);
  return options;
}

store_watch::store_watch(asio::io_context& context,
                         store& source,
                         std::string prefix,
                         watch_options options,
                         watch_handlers handlers)
    : context_(context),
      source_(source),
      prefix_(std::move(prefix)),
      options_(options),
      handlers_(std::move(handlers)),
      timer_(context) {}

auto store_watch::Start() -> void {
  asio::co_spawn(context_, Run(), asio::detached);
}

auto store_watch::Stop() -> void {
  is_stopped_ = true;
  timer_.cancel();
}

auto store_watch::Run() -> asio::awaitable<void> {
  auto backoff = duration(0);
  while (!is_stopped_) {
    const auto is_refresh = needs_refresh_;
    auto is_answered = false;
    if (is_refresh) {
      is_answered = co_await Refresh();
    } else {
      is_answered = co_await Follow();
    }
    if (!is_answered) {
      co_await Pause(backoff);
      backoff = std::clamp(2 * backoff, options_.initial_backoff,
                           options_.max_backoff);
    } else if (!is_refresh) {
      backoff = duration(0);
    }
  }
}

auto store_watch::Refresh() -> asio::awaitable<bool> {
  const auto called_at = Now();
  auto result = co_await source_.List(prefix_);
  if (is_stopped_) {
    co_return false;
  }
  SetReachable(result.value.has_value(), result.error);
  if (!result.value) {
    co_return false;
  }
  OnAnswer(called_at);
  const auto changes = result.value->revision_at -
                       std::exchange(next_, result.value->revision_at);
  listing_bytes_ = 0;
  for (const auto& item : result.value->items) {
    listing_bytes_ += BytesOf(item);
  }
  needs_refresh_ =
      changes > 0 && IsListingSmaller(static_cast<std::size_t>(changes));
  handlers_.on_snapshot(*result.value);
  known_as_of_ = std::max(known_as_of_, result.value->as_of);
  if (needs_refresh_) {
    co_await Pause(options_.coalesce);
  }
  co_return true;
}

auto store_watch::Follow() -> asio::awaitable<bool> {
  const auto called_at = Now();
  auto result = co_await source_.WaitForChanges(prefix_, next_, options_.wait);
  if (is_stopped_) {
    co_return false;
  }
  if (!result.value || result.value->is_history_lost) {
    // Changes may have been missed: the history was dropped, or a response that
    // was lost contained them. The next listing shows whether the store is
    // reachable.
    needs_refresh_ = !options_.repeats_failed_calls || result.value;
    if (!needs_refresh_) {
      SetReachable(false, result.error);
      co_return false;
    }
    Log(log_events::kStoreWatchEnded,
        {{"prefix", std::string_view(prefix_)},
         {"revision", next_},
         {"reason", result.value
                        ? std::string_view("change history no longer available")
                        : std::string_view(result.error)}});
    co_return false;
  }
  OnAnswer(called_at);
  SetReachable(true, "");
  if (result.value->is_snapshot) {
    next_ = std::max(next_, result.value->next);
    auto all = listing{{}, result.value->next};
    for (auto& change : result.value->changes) {
      all.items.push_back(std::move(change.item));
    }
    handlers_.on_snapshot(all);
    known_as_of_ = std::max(known_as_of_, result.value->as_of);
    co_await Pause(options_.coalesce);
    co_return true;
  }
  // Without changes the position stays: the store may have passed a change that
  // it failed to report.
  if (!result.value->changes.empty()) {
    const auto& changes = result.value->changes;
    next_ = std::max(next_, result.value->next);
    auto bytes = std::size_t{0};
    for (const auto& change : changes) {
      bytes += BytesOf(change.item);
    }
    bytes_per_change_ = bytes / changes.size();
    needs_refresh_ = IsListingSmaller(changes.size());
    handlers_.on_changes(*result.value);
    known_as_of_ = std::max(known_as_of_, result.value->as_of);
    co_await Pause(options_.coalesce);
  } else {
    known_as_of_ = std::max(known_as_of_, result.value->as_of);
  }
  co_return true;
}

auto store_watch::Age(instant now) const -> std::optional<duration> {
  return answered_at_ ? std::optional<duration>(now - *answered_at_)
                      : std::nullopt;
}

auto store_watch::IsListingSmaller(std::size_t changes) const -> bool {
  return options_.lists_if_smaller &&
         changes * bytes_per_change_ > listing_bytes_;
}

auto store_watch::OnAnswer(instant called_at) -> void {
  answered_at_ = Now();
  last_call_duration_ = *answered_at_ - called_at;
}

auto store_watch::Pause(duration length) -> asio::awaitable<void> {
  timer_.expires_after(length);
  co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
}

auto store_watch::SetReachable(bool value, const std::string& reason) -> void {
  if (value == is_reachable_) {
    return;
  }
  is_reachable_ = value;
  if (value) {
    Log(log_events::kStoreReachableAgain,
        {{"prefix", std::string_view(prefix_)}});
  } else {
    Log(log_events::kStoreUnreachable, {{"prefix", std::string_view(prefix_)},
                                        {"reason", std::string_view(reason)},
                                        {"revision", next_}});
  }
  handlers_.on_reachability_changed(value);
}

}  // namespace daisywind::kv
