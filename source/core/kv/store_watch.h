// Watch of the keys under one prefix that recovers from outages of the store
// and from lost change history.
#ifndef DAISYWIND_KV_STORE_WATCH_H_
#define DAISYWIND_KV_STORE_WATCH_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "common/kv_types.h"
#include "common/time.h"
#include "kv/store.h"

namespace daisywind::kv {

// Callbacks to the owner of a watch.
struct watch_handlers {
  // All keys under the prefix; called after the start and whenever changes may
  // have been missed.
  std::function<void(const listing& all)> on_snapshot;
  std::function<void(const change_list& list)> on_changes;
  // The store has become unreachable, or reachable again.
  std::function<void(bool is_reachable)> on_reachability_changed;
};

// Timing of a watch.
struct watch_options {
  // How long the store may hold one call until there are changes. A call that
  // reports nothing does not prove that nothing has changed: the store may fail
  // to wake it, as when it drops its history.
  duration wait = 1s;
  // Pause after changes, so that changes in quick succession are fetched
  // together.
  duration coalesce = 300ms;
  // Pause after the second failure in a row; doubles with each further one, up
  // to max_backoff. A successful listing does not end the row, so that a store
  // which refuses only calls for changes is not sent listings without pause.
  duration initial_backoff = 100ms;
  duration max_backoff = 1s;
  // Whether keys are listed in place of a call for changes while a listing is
  // the smaller response: a call for changes has each version of a key whole.
  bool lists_if_smaller = false;
  // Whether a failed call for changes is repeated from the same position
  // instead of listing all keys. For a watch through VMs that pass on changes,
  // which otherwise would all be asked for everything at the end of an outage.
  bool repeats_failed_calls = false;
};

// Returns the options of a watch that learns of a change within `time_limit`
// even if a call for changes fails to report it or gets no response. Time
// limits below 2 s can't be kept in the latter case.
auto WatchOptionsFor(duration time_limit) -> watch_options;

// The same for a watch whose owner passes the changes on to other VMs, which
// need a part of the limit: the store answers it at least once in half of the
// limit.
auto RelayingWatchOptionsFor(duration time_limit) -> watch_options;

// Shortens the calls of a watch so that the store is asked several times within
// a time, also after failures.
auto WithMaxAge(watch_options options, duration max_age) -> watch_options;

// Watches one prefix from Start until Stop.
class store_watch {
 public:
  store_watch(boost::asio::io_context& context,
              store& source,
              std::string prefix,
              watch_options options,
              watch_handlers handlers);

  auto Start() -> void;
  auto Stop() -> void;

  // Time since the newest complete response of the store arrived; empty before
  // the first one.
  [[nodiscard]] auto Age(instant now) const -> std::optional<duration>;

  // The owner has been told of everything that the store had acknowledged by
  // this time; empty until the first complete response whose time is known.
  [[nodiscard]] auto known_as_of() const -> std::optional<instant> {
    return known_as_of_;
  }

  // How long the call that got this response took.
  [[nodiscard]] auto last_call_duration() const -> duration {
    return last_call_duration_;
  }

 private:
  // Notes the time of a complete response to a call.
  auto OnAnswer(instant called_at) -> void;
  auto Run() -> boost::asio::awaitable<void>;
  auto Refresh() -> boost::asio::awaitable<bool>;
  auto Follow() -> boost::asio::awaitable<bool>;
  // Whether so many changes as these are larger than a listing.
  [[nodiscard]] auto IsListingSmaller(std::size_t changes) const -> bool;
  auto Pause(duration length) -> boost::asio::awaitable<void>;
  auto SetReachable(bool value, const std::string& reason) -> void;

  boost::asio::io_context& context_;
  store& source_;
  std::string prefix_;
  watch_options options_;
  watch_handlers handlers_;
  boost::asio::steady_timer timer_;
  revision next_ = 0;
  std::optional<instant> answered_at_;
  std::optional<instant> known_as_of_;
  duration last_call_duration_{};
  // Size of the last listing, and the average size of the changes in the last
  // call that reported any.
  std::size_t listing_bytes_ = 0;
  std::size_t bytes_per_change_ = 0;
  bool needs_refresh_ = true;
  bool is_reachable_ = true;
  bool is_stopped_ = false;
};

}  // namespace daisywind::kv

#endif  // DAISYWIND_KV_STORE_WATCH_H_
