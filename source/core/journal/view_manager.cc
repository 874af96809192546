#include "journal/view_manager.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <iterator>
#include <utility>

#include "common/logging.h"
#include "common/process_clock.h"
#include "common/vm_location.h"
#include "history/messages.h"
#include "history_wire/view_json.h"
#include "journal/journal_node.h"

namespace daisywind::journal {

namespace asio = boost::asio;

view_manager::view_manager(asio::io_context& context,
                           journal_node& node,
                           kv::store& store,
                           view_manager_options options)
    : context_(context),
      node_(node),
      store_(store),
      options_(std::move(options)),
      followed_store_(
          context,
          store,
          node.self().region,
          [this]() -> const history::view& { return followed_members_; },
          options_.mirror),
      watch_(context,
             followed_store_,
             "",
             options_.watch,
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
  if (!has_read_view_) {
    has_read_view_ = true;
    timer_.cancel();
  }
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
    Log(log_events::kEntryIgnored, {{"key", std::string_view(item.key)},
                                    {"reason", "value is not a valid view"}});
    return;
  }
  if (item.mod_revision <= view_revision_) {
    return;
  }
  const auto was_member = IsMember();
  stored_view_ = *read;
  view_revision_ = item.mod_revision;
  followed_members_ = {stored_view_.number, IsMember()
                                                ? std::vector<history::member>{}
                                                : OtherMembers()};
  node_.replica().Adopt(stored_view_);
  if (IsMember() && !was_member) {
    node_.quotas().OnJoined(Now());
  }
  Log(log_events::kViewAdopted,
      {{"view", static_cast<std::int64_t>(stored_view_.number)},
       {"members", static_cast<std::int64_t>(stored_view_.members.size())},
       {"revision", view_revision_},
       {"seat", IsMember()}});
}

auto view_manager::IsMember() const -> bool {
  const auto* own_entry = stored_view_.Find(node_.self().vm);
  return own_entry != nullptr && *own_entry == node_.self();
}

auto view_manager::OtherMembers() const -> std::vector<history::member> {
  auto others = stored_view_.members;
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
    co_await Pause(options_.step_interval);
  }
}

auto view_manager::Step() -> asio::awaitable<void> {
  if (retiring_.contains(node_.self().vm)) {
    co_await Retire();
    co_return;
  }
  if (!IsMember()) {
    if (!co_await JoinView()) {
      co_await ProbeMembers();
    }
  }
  if (!IsMember()) {
    co_await HandOver();
    co_return;
  }
  if (!node_.replica().IsComplete()) {
    co_await CompleteReplica();
  }
}

auto view_manager::HandOver() -> asio::awaitable<void> {
  const auto view = stored_view_.number;
  const auto has_facts = node_.replica().facts().size() > 0;
  if (has_facts && handed_over_in_ != view && co_await PushMissingFacts()) {
    handed_over_in_ = view;
  }
}

auto view_manager::JoinView() -> asio::awaitable<bool> {
  auto inputs = history::join_inputs{};
  inputs.current = stored_view_;
  inputs.self = node_.self();
  inputs.tolerated_losses = options_.tolerated_losses;
  inputs.complete = complete_members_;
  inputs.retiring.assign(retiring_.begin(), retiring_.end());
  for (const auto& [vm, since] : unreachable_since_) {
    if (Now() - since >= options_.replace_after) {
      inputs.unreachable.push_back(vm);
    }
  }
  auto next = history::ViewWithSelf(inputs);
  if (!next) {
    co_return false;
  }
  const auto replaced_revision = view_revision_;
  // Facts recorded while this VM was not a member may be missing here, except
  // when it joins the first view.
  const auto is_first_view = stored_view_.number == 0;
  const auto is_durable = co_await PersistComplete(is_first_view ? 1 : 0);
  // Another VM may have written a view meanwhile, which does not hold what
  // `next` was made from.
  if (is_durable && view_revision_ == replaced_revision) {
    co_await WriteView(std::move(*next));
  }
  co_return true;
}

auto view_manager::PersistComplete(history::view_number since)
    -> asio::awaitable<bool> {
  // Shared, because the handler may be called after a stop has ended the wait.
  const auto is_durable = std::make_shared<std::optional<bool>>();
  node_.PersistComplete(since, [this, is_durable](bool done) {
    *is_durable = done;
    timer_.cancel();
  });
  while (!*is_durable && !is_stopped_) {
    co_await Pause(options_.request_timeout);
  }
  co_return is_durable->value_or(false);
}

auto view_manager::WriteView(history::view next) -> asio::awaitable<bool> {
  auto request = kv::txn_request{};
  request.compares.push_back({std::string(history::kViewKey), view_revision_});
  request.success.emplace_back(kv::put_request{std::string(history::kViewKey),
                                               history::RenderView(next), 0});
  const auto result = co_await store_.Write(std::move(request));
  const auto was_applied = result.value.value_or(false);
  Log(log_events::kViewMembershipChanged,
      {{"view", static_cast<std::int64_t>(next.number)},
       {"members", static_cast<std::int64_t>(next.members.size())},
       {"expected_revision", view_revision_},
       {"answered", result.value.has_value()},
       {"changed", was_applied}});
  // A write without a reply may have been applied, so the key is read back.
  const auto read = co_await store_.Read(std::string(history::kViewKey));
  if (read.value && *read.value) {
    OnViewItem(**read.value);
  }
  co_return was_applied;
}

auto view_manager::ProbeMembers() -> asio::awaitable<void> {
  const auto reachable = co_await AnnounceView();
  complete_members_.clear();
  for (const auto& item : OtherMembers()) {
    const auto found = std::find_if(
        reachable.begin(), reachable.end(),
        [&](const reachable_member& known) { return known.peer == item; });
    if (found == reachable.end()) {
      unreachable_since_.try_emplace(item.vm, Now());
      continue;
    }
    unreachable_since_.erase(item.vm);
    if (found->is_complete) {
      complete_members_.push_back(item.vm);
    }
  }
}

auto view_manager::AnnounceView()
    -> asio::awaitable<std::vector<reachable_member>> {
  auto reachable = std::vector<reachable_member>{};
  for (const auto& item : OtherMembers()) {
    const auto reply = co_await clients_.ClientFor(item.address)
                           ->SendAndWait(stored_view_.number,
                                         history::adopt_request{stored_view_},
                                         options_.request_timeout);
    if (const auto* adopted =
            reply ? std::get_if<history::adopt_reply>(&*reply) : nullptr) {
      reachable.push_back({item, adopted->is_complete});
    }
  }
  co_return reachable;
}

auto view_manager::CompleteReplica() -> asio::awaitable<void> {
  const auto view = stored_view_.number;
  const auto reachable = co_await AnnounceView();
  auto sources = reachable;
  std::erase_if(sources,
                [](const reachable_member& item) { return !item.is_complete; });
  if (!AreEnoughSources(sources.size(), reachable.size())) {
    co_await CopyFromSome(view, reachable);
    co_return;
  }
  if (sources.size() < SourcesNeeded()) {
    sources = reachable;
  }
  // What a near member has is not copied over the link between regions.
  const auto& self = node_.self();
  std::stable_sort(sources.begin(), sources.end(),
                   [&](const reachable_member& a, const reachable_member& b) {
                     return Distance(a.peer, self) < Distance(b.peer, self);
                   });
  // A write of the view that fails needs no other copy.
  if (copied_in_ != view) {
    const auto is_copied = co_await CopyFrom(sources, reachable);
    if (!is_copied || stored_view_.number != view) {
      co_return;
    }
    copied_in_ = view;
  }
  // So that the disk has room for the record of completeness.
  if (!co_await node_.PersistAndWait({}) || stored_view_.number != view) {
    co_return;
  }
  // Facts were copied to other members as well. One that answered before that
  // and this one may both lack a fact, so they must not answer in one view.
  auto next = stored_view_;
  ++next.number;
  if (!co_await WriteView(next) || stored_view_ != next) {
    co_return;
  }
  too_few_complete_since_.reset();
  copied_from_.clear();
  // A step that did not wait for this would copy and write a view again.
  if (!co_await PersistComplete(next.number)) {
    co_return;
  }
  Log(log_events::kCopyComplete,
      {{"view", static_cast<std::int64_t>(next.number)},
       {"facts", static_cast<std::int64_t>(node_.replica().facts().size())},
       {"sources", static_cast<std::int64_t>(sources.size())}});
}

auto view_manager::CopyFrom(std::vector<reachable_member> sources,
                            std::vector<reachable_member> reachable)
    -> asio::awaitable<bool> {
  const auto view = stored_view_.number;
  const auto lists = co_await FetchFactLists(sources);
  if (lists.size() != sources.size()) {
    co_return false;
  }
  auto copying = std::vector<fact_list>{};
  std::erase_if(reachable, [&](const reachable_member& item) {
    return std::find(sources.begin(), sources.end(), item) != sources.end();
  });
  for (const auto& item : reachable) {
    const auto only = std::vector<reachable_member>(1, item);
    auto list = co_await FetchFactLists(only);
    std::move(list.begin(), list.end(), std::back_inserter(copying));
  }
  if (copying.empty()) {
    co_return co_await node_.copier().CopyMissing(view, lists);
  }
  co_return co_await node_.copier().CopyShare(view, lists, copying);
}

// Every fact of the previous view is on at least one of this many members: it
// was written to a write quorum, of which this VM's entry in the view holds at
// most one copy.
auto view_manager::SourcesNeeded() const -> std::size_t {
  return history::SourcesNeeded(OtherMembers().size() + 1,
                                options_.tolerated_losses);
}

auto view_manager::AreEnoughSources(std::size_t complete, std::size_t reachable)
    -> bool {
  const auto needed = SourcesNeeded();
  if (complete >= needed) {
    too_few_complete_since_.reset();
    return true;
  }
  if (reachable < OtherMembers().size()) {
    too_few_complete_since_.reset();
  } else if (!too_few_complete_since_) {
    too_few_complete_since_ = Now();
  }
  const auto accepts_loss =
      too_few_complete_since_ &&
      Now() - *too_few_complete_since_ >= options_.accept_loss_after;
  Log(accepts_loss ? log_events::kFactsMayBeLost : log_events::kPullFailed,
      {{"reason", "too few complete members respond"},
       {"answering", static_cast<std::int64_t>(reachable)},
       {"complete", static_cast<std::int64_t>(complete)},
       {"needed", static_cast<std::int64_t>(needed)}});
  return accepts_loss;
}

auto view_manager::CopyFromSome(history::view_number view,
                                std::vector<reachable_member> from)
    -> asio::awaitable<void> {
  std::erase_if(from, [&](const reachable_member& item) {
    return copied_from_.contains({view, item.peer.vm});
  });
  const auto lists = co_await FetchFactLists(from);
  if (lists.empty() || !co_await node_.copier().CopyPart(view, lists)) {
    co_return;
  }
  for (const auto& list : lists) {
    copied_from_.insert({view, list.peer.vm});
  }
}

auto view_manager::FetchFactLists(const std::vector<reachable_member>& from)
    -> asio::awaitable<std::vector<fact_list>> {
  auto lists = std::vector<fact_list>{};
  for (const auto& item : from) {
    auto reply =
        co_await clients_.ClientFor(item.peer.address)
            ->SendAndWaitForLong(stored_view_.number, history::list_request{},
                                 3 * options_.request_timeout);
    auto* list = reply ? std::get_if<history::list_reply>(&*reply) : nullptr;
    if (list == nullptr) {
      Log(log_events::kPullFailed,
          {{"vm", std::string_view(item.peer.vm.value)},
           {"reason", "member did not send its list of facts"}});
      break;
    }
    lists.push_back({item.peer, std::move(list->hashes)});
  }
  co_return lists;
}

// Sends the facts that lack copies to other members and removes this VM from
// the view. Reports that it has retired only when every fact is on a write
// quorum of other disks.
auto view_manager::Retire() -> asio::awaitable<void> {
  if (last_status_ == options_.retire.done) {
    co_return;
  }
  if (last_status_.empty() && !co_await WriteStatus(options_.retire.running)) {
    co_return;
  }
  if (stored_view_.Find(node_.self().vm) != nullptr) {
    co_await Pause(options_.successor_wait);
    // Missing copies are sent to the others before this VM leaves the view, so
    // that only the newest facts have to be sent afterwards.
    if (!co_await PushMissingFacts()) {
      co_return;
    }
    const auto next = history::ViewWithout(stored_view_, node_.self().vm,
                                           options_.tolerated_losses);
    if (next && !co_await WriteView(*next)) {
      co_return;
    }
  }
  if (stored_view_.Find(node_.self().vm) != nullptr) {
    co_return;
  }
  const auto is_done =
      co_await PushMissingFacts() && co_await AreMembersComplete();
  if (is_done) {
    co_await WriteStatus(options_.retire.done);
  }
}

auto view_manager::PushMissingFacts() -> asio::awaitable<bool> {
  const auto members = co_await AnnounceView();
  if (members.size() < OtherMembers().size()) {
    co_return false;
  }
  const auto lists = co_await FetchFactLists(members);
  if (lists.size() != OtherMembers().size()) {
    co_return false;
  }
  co_return co_await node_.copier().PushMissing(stored_view_.number, lists);
}

auto view_manager::AreMembersComplete() -> asio::awaitable<bool> {
  const auto reachable = co_await AnnounceView();
  const auto complete = std::count_if(
      reachable.begin(), reachable.end(),
      [](const reachable_member& item) { return item.is_complete; });
  co_return static_cast<std::size_t>(complete) == stored_view_.members.size();
}

auto view_manager::WriteStatus(const std::string& value)
    -> asio::awaitable<bool> {
  const auto key = options_.retire.status_prefix + node_.self().vm.value;
  auto request = kv::txn_request{};
  request.success.emplace_back(kv::put_request{key, value, 0});
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
