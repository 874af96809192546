#include "journal/seat_keeper.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <utility>

#include "common/logging.h"
#include "common/process_clock.h"
#include "history/messages.h"
#include "history_wire/view_json.h"
#include "journal/journal_node.h"
#include "net/http_types.h"

namespace daisywind::journal {
namespace {

namespace asio = boost::asio;

}  // namespace

seat_keeper::seat_keeper(asio::io_context& context,
                         journal_node& node,
                         kv::store& store,
                         seat_options options)
    : context_(context),
      node_(node),
      store_(store),
      options_(std::move(options)),
      view_watch_(context,
                  store,
                  std::string(kViewPrefix),
                  {},
                  {[this](const std::vector<kv::key_value>& items) {
                     has_read_view_ = true;
                     for (const auto& item : items) {
                       OnViewItem(item);
                     }
                   },
                   [this](const std::vector<kv::key_change>& changes) {
                     for (const auto& change : changes) {
                       if (!change.is_removed) {
                         OnViewItem(change.item);
                       }
                     }
                   },
                   [](bool) {}}),
      retire_watch_(context,
                    store,
                    options_.retire.request_prefix,
                    {},
                    {[this](const std::vector<kv::key_value>& items) {
                       retiring_.clear();
                       OnRetireItems(items);
                     },
                     [this](const std::vector<kv::key_change>& changes) {
                       for (const auto& change : changes) {
                         if (change.is_removed) {
                           retiring_.erase(vm_id(change.item.key.substr(
                               options_.retire.request_prefix.size())));
                         } else {
                           OnRetireItems({change.item});
                         }
                       }
                     },
                     [](bool) {}}),
      timer_(context) {}

auto seat_keeper::Start() -> void {
  view_watch_.Start();
  retire_watch_.Start();
  asio::co_spawn(context_, Run(), asio::detached);
}

auto seat_keeper::Stop() -> void {
  is_stopped_ = true;
  view_watch_.Stop();
  retire_watch_.Stop();
  timer_.cancel();
}

auto seat_keeper::OnViewItem(const kv::key_value& item) -> void {
  const auto read = history::ParseView(item.value);
  if (!read) {
    Log(log_events::kEntryIgnored,
        {{"key", std::string_view(item.key)}, {"reason", "no view"}});
    return;
  }
  if (item.mod_revision <= revision_) {
    return;
  }
  stored_ = *read;
  revision_ = item.mod_revision;
  node_.state().Adopt(stored_);
  Log(log_events::kViewAdopted,
      {{"view", static_cast<std::int64_t>(stored_.number)},
       {"members", static_cast<std::int64_t>(stored_.members.size())},
       {"revision", revision_},
       {"seat", HasSeat()}});
}

auto seat_keeper::OnRetireItems(const std::vector<kv::key_value>& items)
    -> void {
  for (const auto& item : items) {
    retiring_.insert(
        vm_id(item.key.substr(options_.retire.request_prefix.size())));
  }
}

auto seat_keeper::HasSeat() const -> bool {
  const auto* seat = stored_.Find(node_.self().vm);
  return seat != nullptr && *seat == node_.self();
}

auto seat_keeper::Others() const -> std::vector<history::member> {
  auto others = stored_.members;
  std::erase_if(others, [&](const history::member& item) {
    return item.vm == node_.self().vm;
  });
  return others;
}

auto seat_keeper::Run() -> asio::awaitable<void> {
  while (!is_stopped_) {
    if (has_read_view_) {
      co_await Step();
    }
    co_await Pause(options_.tick);
  }
}

auto seat_keeper::Step() -> asio::awaitable<void> {
  if (retiring_.contains(node_.self().vm)) {
    co_await Retire();
    co_return;
  }
  if (!HasSeat()) {
    if (!co_await TakeSeat()) {
      co_await ProbeMembers();
    }
    co_return;
  }
  if (!node_.state().IsComplete()) {
    co_await BecomeComplete();
  }
}

auto seat_keeper::TakeSeat() -> asio::awaitable<bool> {
  auto inputs = history::join_inputs{};
  inputs.current = stored_;
  inputs.self = node_.self();
  inputs.tolerated = options_.tolerated;
  inputs.retiring.assign(retiring_.begin(), retiring_.end());
  for (const auto& [vm, since] : silent_since_) {
    if (Now() - since >= options_.replace_after) {
      inputs.unreachable.push_back(vm);
    }
  }
  auto next = history::ViewWithSelf(inputs);
  if (!next) {
    co_return false;
  }
  // A further seat raises what a read needs, so the copies before it must be
  // complete.
  const auto is_growth = next->members.size() > stored_.members.size();
  if (is_growth && !co_await AreMembersComplete()) {
    co_return true;
  }
  // Facts of a time without a seat may be missing from this copy.
  const auto is_first = stored_.number == 0;
  auto is_noted = false;
  auto is_durable = false;
  node_.PersistComplete(is_first ? 1 : 0, [&](bool done) {
    is_durable = done;
    is_noted = true;
    timer_.cancel();
  });
  while (!is_noted) {
    co_await Pause(options_.ask_timeout);
  }
  if (is_durable) {
    co_await Write(std::move(*next));
  }
  co_return true;
}

auto seat_keeper::Write(history::view next) -> asio::awaitable<bool> {
  auto request = kv::txn_request{};
  request.compares = {{std::string(kViewPrefix), revision_}};
  request.success = {
      kv::put_request{std::string(kViewPrefix), history::RenderView(next), 0}};
  const auto result = co_await store_.Write(std::move(request));
  const auto has_changed = result.value.value_or(false);
  Log(log_events::kSeatTaken,
      {{"view", static_cast<std::int64_t>(next.number)},
       {"members", static_cast<std::int64_t>(next.members.size())},
       {"expected_revision", revision_},
       {"answered", result.value.has_value()},
       {"changed", has_changed}});
  // Whether a write without an answer was carried out shows in the key itself.
  const auto read = co_await store_.Read(std::string(kViewPrefix));
  if (read.value && *read.value) {
    OnViewItem(**read.value);
  }
  co_return has_changed;
}

auto seat_keeper::ProbeMembers() -> asio::awaitable<void> {
  for (const auto& item : Others()) {
    const auto reply = co_await Client(item)->AskAndWait(
        stored_.number, history::adopt_request{stored_}, options_.ask_timeout);
    if (reply) {
      silent_since_.erase(item.vm);
    } else {
      silent_since_.try_emplace(item.vm, Now());
    }
  }
}

auto seat_keeper::AnnounceView()
    -> asio::awaitable<std::vector<history::member>> {
  auto complete = std::vector<history::member>{};
  for (const auto& item : Others()) {
    const auto reply = co_await Client(item)->AskAndWait(
        stored_.number, history::adopt_request{stored_}, options_.ask_timeout);
    const auto* adopted =
        reply ? std::get_if<history::adopt_reply>(&*reply) : nullptr;
    if (adopted != nullptr && adopted->is_complete) {
      complete.push_back(item);
    }
  }
  co_return complete;
}

auto seat_keeper::BecomeComplete() -> asio::awaitable<void> {
  const auto view = stored_.number;
  const auto sources = co_await AnnounceView();
  // Every fact of the view before is on at least one of these: its copies were
  // as many as a write needs, and this VM's seat held one of them at most.
  const auto others = Others().size();
  const auto write = options_.tolerated + 1;
  const auto needed = others + 2 > write ? others + 2 - write : 1;
  if (sources.size() < needed) {
    Log(log_events::kPullFailed,
        {{"reason", "too few complete members answer"},
         {"complete", static_cast<std::int64_t>(sources.size())},
         {"needed", static_cast<std::int64_t>(needed)}});
    co_return;
  }
  auto pulled = std::size_t{0};
  for (const auto& item : sources) {
    pulled += co_await PullFrom(item) ? 1 : 0;
    if (pulled >= needed) {
      break;
    }
  }
  if (pulled < needed || stored_.number != view) {
    co_return;
  }
  node_.PersistComplete(view, [](bool) {});
  Log(log_events::kCopyComplete,
      {{"view", static_cast<std::int64_t>(view)},
       {"facts", static_cast<std::int64_t>(node_.state().facts().size())},
       {"sources", static_cast<std::int64_t>(pulled)}});
}

auto seat_keeper::PullFrom(const history::member& from)
    -> asio::awaitable<bool> {
  auto request = history::pull_request{};
  request.known = node_.state().facts().Hashes();
  while (!is_stopped_) {
    auto reply = co_await Client(from)->AskAndWait(stored_.number, request,
                                                   3 * options_.ask_timeout);
    auto* pulled = reply ? std::get_if<history::pull_reply>(&*reply) : nullptr;
    if (pulled == nullptr || !pulled->is_complete) {
      Log(log_events::kPullFailed,
          {{"vm", std::string_view(from.vm.value)},
           {"reason", pulled == nullptr ? "no reply" : "incomplete"}});
      co_return false;
    }
    auto fresh = node_.state().TakeIn(pulled->page.facts);
    node_.counters().facts_pulled += fresh.size();
    if (!fresh.empty()) {
      node_.Persist(std::move(fresh), [](bool) {});
    }
    if (!pulled->page.has_more) {
      co_return true;
    }
    request.after = pulled->page.next;
    request.known.clear();
  }
  co_return false;
}

// Everything that this VM holds is on every member before it says that it is
// empty.
auto seat_keeper::Retire() -> asio::awaitable<void> {
  if (last_status_ == options_.retire.done) {
    co_return;
  }
  if (last_status_.empty() && !co_await WriteStatus(options_.retire.running)) {
    co_return;
  }
  if (stored_.Find(node_.self().vm) != nullptr) {
    co_await Pause(options_.successor_wait);
    const auto next = history::ViewWithout(stored_, node_.self().vm);
    if (next && !co_await Write(*next)) {
      co_return;
    }
  }
  if (stored_.Find(node_.self().vm) != nullptr) {
    co_return;
  }
  const auto is_done = co_await PushAll() && co_await AreMembersComplete();
  if (is_done) {
    co_await WriteStatus(options_.retire.done);
  }
}

auto seat_keeper::PushAll() -> asio::awaitable<bool> {
  for (const auto& item : Others()) {
    auto position = history::fact_sequence{0};
    auto has_more = true;
    while (has_more) {
      auto page =
          node_.state().facts().After(position, {}, history::kPullPageBytes);
      position = page.next;
      has_more = page.has_more;
      const auto reply = co_await Client(item)->AskAndWait(
          stored_.number, history::record_request{std::move(page.facts)},
          3 * options_.ask_timeout);
      const auto* recorded =
          reply ? std::get_if<history::record_reply>(&*reply) : nullptr;
      if (recorded == nullptr || !recorded->is_durable) {
        co_return false;
      }
    }
  }
  co_return true;
}

auto seat_keeper::AreMembersComplete() -> asio::awaitable<bool> {
  const auto complete = co_await AnnounceView();
  co_return complete.size() == stored_.members.size();
}

auto seat_keeper::WriteStatus(const std::string& value)
    -> asio::awaitable<bool> {
  const auto key = options_.retire.status_prefix + node_.self().vm.value;
  auto request = kv::txn_request{};
  request.success = {kv::put_request{key, value, 0}};
  const auto result = co_await store_.Write(std::move(request));
  Log(log_events::kRetireProgress, {{"status", std::string_view(value)},
                                    {"answered", result.value.has_value()}});
  if (result.value) {
    last_status_ = value;
  }
  co_return result.value.has_value();
}

auto seat_keeper::Pause(duration length) -> asio::awaitable<void> {
  timer_.expires_after(length);
  co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
}

auto seat_keeper::Client(const history::member& of)
    -> std::shared_ptr<history::member_client> {
  auto& client = clients_[of.address];
  if (client == nullptr) {
    client = std::make_shared<history::member_client>(
        context_,
        net::ParseSocketAddress(of.address).value_or(net::socket_address{}));
  }
  return client;
}

}  // namespace daisywind::journal
