#include "journal/view_manager.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <utility>

#include "common/logging.h"
#include "common/process_clock.h"
#include "history/messages.h"
#include "history_wire/view_json.h"
#include "journal/journal_node.h"

namespace daisywind::journal {
namespace {

namespace asio = boost::asio;

using hash_list = std::vector<history::fact_hash>;

// Facts in one message.
constexpr auto kBatch = std::size_t{32};

auto BatchAt(const hash_list& all, std::size_t begin) -> hash_list {
  const auto first = all.begin() + static_cast<std::ptrdiff_t>(begin);
  const auto size = std::min(kBatch, all.size() - begin);
  return {first, first + static_cast<std::ptrdiff_t>(size)};
}

}  // namespace

view_manager::view_manager(asio::io_context& context,
                           journal_node& node,
                           kv::store& store,
                           view_manager_options options)
    : context_(context),
      node_(node),
      store_(store),
      options_(std::move(options)),
      watch_(context,
             store,
             "",
             {},
             {[this](const kv::listing& all) { OnSnapshot(all); },
              [this](const kv::change_list& list) { OnChanges(list); },
              [](bool) {}}),
      timer_(context),
      clients_(context) {}

auto view_manager::Start() -> void {
  watch_.Start();
  asio::co_spawn(context_, Run(), asio::detached);
}

auto view_manager::Stop() -> void {
  is_stopped_ = true;
  watch_.Stop();
  timer_.cancel();
}

auto view_manager::OnSnapshot(const kv::listing& all) -> void {
  has_read_view_ = true;
  node_.mirror().Replace(all);
  retiring_.clear();
  for (const auto& item : all.items) {
    OnItem(item);
  }
}

auto view_manager::OnChanges(const kv::change_list& list) -> void {
  node_.mirror().Apply(list);
  for (const auto& change : list.changes) {
    if (!change.is_removed) {
      OnItem(change.item);
    } else if (const auto vm = RetiringVm(change.item.key)) {
      retiring_.erase(*vm);
    }
  }
}

auto view_manager::OnItem(const kv::key_value& item) -> void {
  if (item.key == history::kViewKey) {
    OnViewItem(item);
  } else if (const auto vm = RetiringVm(item.key)) {
    retiring_.insert(*vm);
  }
}

auto view_manager::RetiringVm(const std::string& key) const
    -> std::optional<vm_id> {
  const auto& prefix = options_.retire.request_prefix;
  return key.starts_with(prefix)
             ? std::optional<vm_id>(key.substr(prefix.size()))
             : std::nullopt;
}

auto view_manager::OnViewItem(const kv::key_value& item) -> void {
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

auto view_manager::HasSeat() const -> bool {
  const auto* seat = stored_.Find(node_.self().vm);
  return seat != nullptr && *seat == node_.self();
}

auto view_manager::Others() const -> std::vector<history::member> {
  auto others = stored_.members;
  std::erase_if(others, [&](const history::member& item) {
    return item.vm == node_.self().vm;
  });
  return others;
}

auto view_manager::Run() -> asio::awaitable<void> {
  while (!is_stopped_) {
    if (has_read_view_) {
      co_await Step();
    }
    node_.PersistMirror();
    co_await Pause(options_.tick);
  }
}

auto view_manager::Step() -> asio::awaitable<void> {
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

auto view_manager::TakeSeat() -> asio::awaitable<bool> {
  auto inputs = history::join_inputs{};
  inputs.current = stored_;
  inputs.self = node_.self();
  inputs.tolerated_losses = options_.tolerated_losses;
  inputs.complete = complete_;
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

auto view_manager::Write(history::view next) -> asio::awaitable<bool> {
  auto request = kv::txn_request{};
  request.compares = {{std::string(history::kViewKey), revision_}};
  request.success = {kv::put_request{std::string(history::kViewKey),
                                     history::RenderView(next), 0}};
  const auto result = co_await store_.Write(std::move(request));
  const auto has_changed = result.value.value_or(false);
  Log(log_events::kViewMembershipChanged,
      {{"view", static_cast<std::int64_t>(next.number)},
       {"members", static_cast<std::int64_t>(next.members.size())},
       {"expected_revision", revision_},
       {"answered", result.value.has_value()},
       {"changed", has_changed}});
  // Whether a write without an answer was carried out shows in the key itself.
  const auto read = co_await store_.Read(std::string(history::kViewKey));
  if (read.value && *read.value) {
    OnViewItem(**read.value);
  }
  co_return has_changed;
}

auto view_manager::ProbeMembers() -> asio::awaitable<void> {
  const auto answering = co_await AnnounceView();
  complete_.clear();
  for (const auto& item : Others()) {
    const auto found = std::find_if(
        answering.begin(), answering.end(),
        [&](const answering_member& known) { return known.who == item; });
    if (found == answering.end()) {
      silent_since_.try_emplace(item.vm, Now());
      continue;
    }
    silent_since_.erase(item.vm);
    if (found->is_complete) {
      complete_.push_back(item.vm);
    }
  }
}

auto view_manager::AnnounceView()
    -> asio::awaitable<std::vector<answering_member>> {
  auto answering = std::vector<answering_member>{};
  for (const auto& item : Others()) {
    const auto reply =
        co_await clients_.To(item.address)
            ->SendAndWait(stored_.number, history::adopt_request{stored_},
                          options_.ask_timeout);
    if (const auto* adopted =
            reply ? std::get_if<history::adopt_reply>(&*reply) : nullptr) {
      answering.push_back({item, adopted->is_complete});
    }
  }
  co_return answering;
}

auto view_manager::BecomeComplete() -> asio::awaitable<void> {
  const auto view = stored_.number;
  const auto answering = co_await AnnounceView();
  auto sources = answering;
  std::erase_if(sources,
                [](const answering_member& item) { return !item.is_complete; });
  // Every fact of the view before is on at least one of so many: its copies
  // were as many as a write needs, and this VM's seat held at most one.
  const auto others = Others().size();
  const auto needed =
      history::SourcesNeeded(others + 1, options_.tolerated_losses);
  if (sources.size() >= needed) {
    stuck_since_.reset();
  } else {
    const auto all_answer = answering.size() == others;
    if (!all_answer) {
      stuck_since_.reset();
    } else if (!stuck_since_) {
      stuck_since_ = Now();
    }
    const auto gives_up =
        stuck_since_ && Now() - *stuck_since_ >= options_.give_up_after;
    Log(gives_up ? log_events::kFactsMayBeLost : log_events::kPullFailed,
        {{"reason", "too few complete members answer"},
         {"answering", static_cast<std::int64_t>(answering.size())},
         {"complete", static_cast<std::int64_t>(sources.size())},
         {"needed", static_cast<std::int64_t>(needed)}});
    if (!gives_up) {
      co_return;
    }
    sources = answering;
  }
  const auto lists = co_await ReadLists(sources);
  const auto is_pulled = lists.size() == sources.size() && co_await Pull(lists);
  if (!is_pulled || stored_.number != view) {
    co_return;
  }
  stuck_since_.reset();
  node_.PersistComplete(view, [](bool) {});
  Log(log_events::kCopyComplete,
      {{"view", static_cast<std::int64_t>(view)},
       {"facts", static_cast<std::int64_t>(node_.state().facts().size())},
       {"sources", static_cast<std::int64_t>(sources.size())}});
}

auto view_manager::ReadLists(const std::vector<answering_member>& from)
    -> asio::awaitable<std::vector<fact_list>> {
  auto lists = std::vector<fact_list>{};
  for (const auto& item : from) {
    auto reply = co_await clients_.To(item.who.address)
                     ->SendAndWait(stored_.number, history::list_request{},
                                   3 * options_.ask_timeout);
    auto* list = reply ? std::get_if<history::list_reply>(&*reply) : nullptr;
    if (list == nullptr) {
      Log(log_events::kPullFailed,
          {{"vm", std::string_view(item.who.vm.value)}, {"reason", "no list"}});
      break;
    }
    lists.push_back({item.who, std::move(list->hashes)});
  }
  co_return lists;
}

auto view_manager::HashesOf(const std::vector<fact_list>& lists)
    -> std::vector<std::vector<history::fact_hash>> {
  auto all = std::vector<std::vector<history::fact_hash>>{};
  for (const auto& item : lists) {
    all.push_back(item.hashes);
  }
  return all;
}

// Reads the facts that are on fewer of the others than a write needs. All other
// facts are safe without this copy, and any read still meets one of theirs.
auto view_manager::Pull(const std::vector<fact_list>& lists)
    -> asio::awaitable<bool> {
  const auto missing =
      history::UnderReplicated(HashesOf(lists), options_.tolerated_losses + 1);
  const auto mine = node_.state().facts().Hashes();
  auto taken = std::set<history::fact_hash>(mine.begin(), mine.end());
  for (const auto& item : lists) {
    auto work = std::make_shared<pull_work>();
    work->from = item.who;
    for (const auto hash : item.hashes) {
      const auto is_missing =
          std::binary_search(missing.begin(), missing.end(), hash);
      if (is_missing && taken.insert(hash).second) {
        work->wanted.push_back(hash);
      }
    }
    // Several connections, since one has a small window over a long way.
    constexpr auto kConnections = std::size_t{4};
    work->running = kConnections;
    for (auto i = std::size_t{0}; i < kConnections; ++i) {
      asio::co_spawn(context_, PullBatches(work), asio::detached);
    }
    while (work->running > 0) {
      co_await Pause(options_.ask_timeout);
    }
    if (work->has_failed) {
      Log(log_events::kPullFailed, {{"vm", std::string_view(item.who.vm.value)},
                                    {"reason", "no reply"}});
      co_return false;
    }
  }
  co_return true;
}

auto view_manager::PullBatches(std::shared_ptr<pull_work> work)
    -> asio::awaitable<void> {
  auto client = history::member_client(context_, work->from.address);
  while (work->next < work->wanted.size() && !work->has_failed) {
    auto request = history::pull_request{BatchAt(work->wanted, work->next)};
    work->next += request.hashes.size();
    auto reply = co_await client.SendAndWait(stored_.number, std::move(request),
                                             3 * options_.ask_timeout);
    auto* pulled = reply ? std::get_if<history::pull_reply>(&*reply) : nullptr;
    if (pulled == nullptr) {
      work->has_failed = true;
      break;
    }
    auto fresh = node_.state().MergeFacts(pulled->facts);
    node_.counters().facts_pulled += fresh.size();
    if (!fresh.empty()) {
      node_.Persist(std::move(fresh), [](bool) {});
    }
  }
  --work->running;
  timer_.cancel();
}

// Every fact is on as many other disks as a write needs before this VM says
// that it is empty.
auto view_manager::Retire() -> asio::awaitable<void> {
  if (last_status_ == options_.retire.done) {
    co_return;
  }
  if (last_status_.empty() && !co_await WriteStatus(options_.retire.running)) {
    co_return;
  }
  if (stored_.Find(node_.self().vm) != nullptr) {
    co_await Pause(options_.successor_wait);
    // What the others lack goes to them before this VM leaves; only facts of
    // the last moment are left for afterwards.
    if (!co_await Push()) {
      co_return;
    }
    const auto next = history::ViewWithout(stored_, node_.self().vm,
                                           options_.tolerated_losses);
    if (next && !co_await Write(*next)) {
      co_return;
    }
  }
  if (stored_.Find(node_.self().vm) != nullptr) {
    co_return;
  }
  const auto is_done = co_await Push() && co_await AreMembersComplete();
  if (is_done) {
    co_await WriteStatus(options_.retire.done);
  }
}

auto view_manager::Push() -> asio::awaitable<bool> {
  const auto members = co_await AnnounceView();
  const auto lists = co_await ReadLists(members);
  if (lists.size() != Others().size()) {
    co_return false;
  }
  const auto owed_to =
      history::PlanCopies(node_.state().facts().Hashes(), HashesOf(lists),
                          options_.tolerated_losses + 1);
  for (auto i = std::size_t{0}; i < lists.size(); ++i) {
    const auto& item = lists[i];
    const auto& owed = owed_to[i];
    for (auto at = std::size_t{0}; at < owed.size(); at += kBatch) {
      const auto batch = BatchAt(owed, at);
      const auto reply =
          co_await clients_.To(item.who.address)
              ->SendAndWait(stored_.number,
                            history::record_request{
                                node_.state().facts().FindByHashes(batch)},
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

auto view_manager::AreMembersComplete() -> asio::awaitable<bool> {
  const auto answering = co_await AnnounceView();
  const auto complete = std::count_if(
      answering.begin(), answering.end(),
      [](const answering_member& item) { return item.is_complete; });
  co_return static_cast<std::size_t>(complete) == stored_.members.size();
}

auto view_manager::WriteStatus(const std::string& value)
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

auto view_manager::Pause(duration length) -> asio::awaitable<void> {
  timer_.expires_after(length);
  co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
}

}  // namespace daisywind::journal
