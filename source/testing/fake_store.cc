#include "testing/fake_store.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <chrono>
#include <memory>
#include <utility>
#include <variant>

#include "common/process_clock.h"

namespace daisywind::testing {
namespace {

namespace asio = boost::asio;
using kv::outcome;

template <class Value>
auto Refused() -> kv::store_result<Value> {
  return {outcome::kRefused, std::nullopt, "store is down"};
}

}  // namespace

fake_store::fake_store(asio::io_context& context)
    : change_signal_(context, asio::steady_timer::time_point::max()) {}

auto fake_store::Read(std::string key)
    -> asio::awaitable<kv::store_result<std::optional<kv::key_value>>> {
  using value = std::optional<kv::key_value>;
  if (is_down_) {
    co_return Refused<value>();
  }
  const auto found = items_.find(key);
  co_return kv::store_result<value>{
      outcome::kAnswered,
      found == items_.end() ? value{} : value{found->second}, ""};
}

auto fake_store::List(std::string prefix)
    -> asio::awaitable<kv::store_result<kv::listing>> {
  ++lists_;
  if (is_down_) {
    co_return Refused<kv::listing>();
  }
  auto all = kv::listing{{}, revision_};
  all.as_of = Now();
  for (const auto& [key, item] : items_) {
    if (key.starts_with(prefix)) {
      all.items.push_back(item);
    }
  }
  co_return kv::store_result<kv::listing>{outcome::kAnswered, std::move(all),
                                          ""};
}

auto fake_store::Write(kv::txn_request request)
    -> asio::awaitable<kv::store_result<bool>> {
  if (is_down_) {
    co_return Refused<bool>();
  }
  const auto has_changed = Apply(request);
  if (std::exchange(loses_next_answer_, false)) {
    co_return kv::store_result<bool>{outcome::kUnknown, std::nullopt,
                                     "response lost"};
  }
  co_return kv::store_result<bool>{outcome::kAnswered, has_changed, ""};
}

auto fake_store::Apply(const kv::txn_request& request) -> bool {
  for (const auto& condition : request.compares) {
    const auto found = items_.find(condition.key);
    const auto at = found == items_.end() ? 0 : found->second.mod_revision;
    if (at != condition.mod_revision) {
      return false;
    }
  }
  for (const auto& item : request.success) {
    if (const auto* put = std::get_if<kv::put_request>(&item)) {
      Put(put->key, put->value);
    } else if (const auto* gone = std::get_if<kv::delete_request>(&item)) {
      Remove(gone->key);
    }
  }
  return true;
}

auto fake_store::WaitForChanges(std::string prefix,
                                kv::revision after,
                                duration wait)
    -> asio::awaitable<kv::store_result<kv::change_list>> {
  ++waits_;
  longest_wait_ = std::max(longest_wait_, wait);
  if (std::exchange(loses_next_changes_, false)) {
    co_return kv::store_result<kv::change_list>{outcome::kUnknown, std::nullopt,
                                                "response lost"};
  }
  const auto called_at = Now();
  const auto until = std::chrono::steady_clock::now() + wait;
  while (true) {
    if (is_down_) {
      co_return Refused<kv::change_list>();
    }
    auto list = kv::change_list{{}, revision_, after < oldest_revision_};
    list.as_of = called_at;
    for (const auto& item : history_) {
      if (item.at > after && item.what.item.key.starts_with(prefix)) {
        list.changes.push_back(item.what);
      }
    }
    const auto is_over = std::chrono::steady_clock::now() >= until;
    if (!list.changes.empty() || list.is_history_lost || is_over) {
      co_return kv::store_result<kv::change_list>{outcome::kAnswered,
                                                  std::move(list), ""};
    }
    const auto timer = std::make_shared<asio::steady_timer>(
        change_signal_.get_executor(), until);
    change_signal_.async_wait(
        [timer](const boost::system::error_code&) { timer->cancel(); });
    co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

auto fake_store::Put(const std::string& key, const std::string& value) -> void {
  auto& item = items_[key];
  ++revision_;
  if (item.key.empty()) {
    item.create_revision = revision_;
  }
  item.key = key;
  item.value = value;
  item.mod_revision = revision_;
  history_.push_back({{item, false}, revision_});
  NotifyWaiters();
}

auto fake_store::Remove(const std::string& key) -> void {
  if (items_.erase(key) == 0) {
    return;
  }
  ++revision_;
  auto item = kv::key_value{};
  item.key = key;
  item.mod_revision = revision_;
  history_.push_back({{item, true}, revision_});
  NotifyWaiters();
}

auto fake_store::Value(const std::string& key) const -> std::string {
  const auto found = items_.find(key);
  return found == items_.end() ? "" : found->second.value;
}

auto fake_store::SetDown(bool is_down) -> void {
  is_down_ = is_down;
  NotifyWaiters();
}

auto fake_store::DropHistory() -> void {
  history_.clear();
  oldest_revision_ = revision_;
  NotifyWaiters();
}

auto fake_store::NotifyWaiters() -> void {
  change_signal_.cancel();
}

}  // namespace daisywind::testing
