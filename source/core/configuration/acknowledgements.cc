#include "configuration/acknowledgements.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "configuration/rendezvous.h"

namespace daisywind::configuration {
namespace {

// An acknowledgement may be lost, so it is repeated: first after this time,
// which leaves room for further ones within the 14 s in which a version is to
// be in force, then ever more rarely.
constexpr auto kFirstRepeat = duration(2s);
constexpr auto kLongestRepeat = duration(30s);
// A VM that is not listed for a while, such as at its start, is kept at least
// until it has repeated its acknowledgement.
constexpr auto kKeepUnlisted = 2 * kLongestRepeat;
// After each of these the next watcher of a silent domain is asked.
constexpr auto kWaitForWatcher = duration(500ms);

auto IsNewer(const acknowledgement& a, const acknowledgement& b) -> bool {
  return a.vm.run != b.vm.run ? a.vm.run > b.vm.run : a.number >= b.number;
}

auto Merge(std::map<vm_id, acknowledgement>& table,
           const acknowledgement& state) -> void {
  const auto [entry, is_new] = table.emplace(state.vm.vm, state);
  if (!is_new && IsNewer(state, entry->second)) {
    entry->second = state;
  }
}

}  // namespace

auto acknowledgements::HandleAcknowledge(const acknowledge_message& content,
                                         instant now) -> void {
  Keep(content.state, now);
}

auto acknowledgements::Keep(const acknowledgement& state, instant now) -> void {
  const auto [entry, is_new] =
      table_.emplace(state.vm.vm, heard_state{state, now});
  if (!is_new && IsNewer(state, entry->second.state)) {
    entry->second = {state, now};
  }
}

auto acknowledgements::ForgetGone(instant now) -> void {
  std::erase_if(table_, [&](const auto& entry) {
    return entry.second.heard_at + kKeepUnlisted < now &&
           std::none_of(state_->members.begin(), state_->members.end(),
                        [&](const member& item) {
                          return item.vm == entry.second.state.vm;
                        });
  });
}

auto acknowledgements::HandleRequest(const vm_ref& from,
                                     const status_request& content,
                                     instant now) -> void {
  auto response = status_response{content.query, {Own(now)}};
  for (const auto& [vm, heard] : table_) {
    response.states.push_back(heard.state);
  }
  state_->Send(from, std::move(response));
}

auto acknowledgements::HandleResponse(const status_response& content) -> void {
  const auto found = queries_.find(content.query);
  if (found != queries_.end()) {
    Take(found->second, content.states);
  }
}

auto acknowledgements::HandleQuery(const status_requested& request, instant now)
    -> void {
  auto item = query{request, now, 0, {}, {}};
  for (const auto& domain : DomainsOf(state_->members)) {
    item.unanswered.insert(domain);
  }
  Merge(item.states, Own(now));
  queries_.emplace(state_->NextId(), std::move(item));
}

auto acknowledgements::Advance(instant now) -> void {
  const auto& installed = state_->installed.head.info;
  if (installed.ref != own_ref_) {
    own_ref_ = installed.ref;
    own_spread_ms_ = std::max(std::int64_t{0},
                              state_->UnixMs(now) - installed.accepted_unix_ms);
    repeat_after_ = kFirstRepeat;
    send_at_ = now;
  }
  if (state_->watchers != told_) {
    told_ = state_->watchers;
    repeat_after_ = kFirstRepeat;
    send_at_ = now;
  }
  if (now >= send_at_) {
    SendOwn(now);
  }
  for (auto i = queries_.begin(); i != queries_.end();) {
    const auto is_answered = Proceed(i->first, i->second, now);
    i = is_answered ? queries_.erase(i) : std::next(i);
  }
}

auto acknowledgements::Own(instant now) const -> acknowledgement {
  return {state_->self.vm, state_->self.domain,
          state_->installed.head.info.ref.number, own_spread_ms_,
          state_->ProofAgeMs(now)};
}

auto acknowledgements::SendOwn(instant now) -> void {
  const auto wait = std::max(repeat_after_, kFirstRepeat);
  send_at_ = now + state_->Jitter(wait);
  repeat_after_ = std::min(2 * wait, kLongestRepeat);
  ForgetGone(now);
  const auto own = Own(now);
  for (const auto& watcher : told_) {
    if (watcher.vm == state_->self.vm) {
      Keep(own, now);
    } else {
      state_->Send(watcher.vm, acknowledge_message{own});
    }
  }
}

auto acknowledgements::Take(query& item,
                            const std::vector<acknowledgement>& states)
    -> void {
  for (const auto& state : states) {
    item.unanswered.erase(state.domain);
    Merge(item.states, state);
  }
}

auto acknowledgements::AskWatchers(std::uint64_t id, query& item) -> void {
  for (const auto& domain : std::set(item.unanswered)) {
    const auto watchers = WatchersOf(state_->members, domain);
    if (item.attempts >= watchers.size()) {
      continue;
    }
    const auto& watcher = watchers[item.attempts].vm;
    if (watcher != state_->self.vm) {
      state_->Send(watcher, status_request{id});
      continue;
    }
    item.unanswered.erase(domain);
    for (const auto& [vm, heard] : table_) {
      Merge(item.states, heard.state);
    }
  }
  item.attempts += 1;
}

auto acknowledgements::Proceed(std::uint64_t id, query& item, instant now)
    -> bool {
  const auto asked_for = kWaitForWatcher * item.attempts;
  const auto is_due = now >= item.started_at + asked_for;
  if (!item.unanswered.empty() && is_due &&
      item.attempts < kWatchersPerDomain) {
    AskWatchers(id, item);
  }
  const auto is_over =
      now >= item.started_at + kWaitForWatcher * (kWatchersPerDomain + 1);
  if (!item.unanswered.empty() && !is_over) {
    return false;
  }
  Reply(item);
  return true;
}

auto acknowledgements::Reply(const query& item) -> void {
  auto reply = status_reply{};
  reply.request = item.request.request;
  reply.newest = std::max(state_->newest_known.number,
                          state_->installed.head.info.ref.number);
  for (const auto& [vm, state] : item.states) {
    reply.states.push_back(state);
  }
  for (const auto& member : state_->members) {
    const auto found = item.states.find(member.vm.vm);
    if (found == item.states.end() || found->second.vm != member.vm) {
      reply.silent.push_back(member);
    }
  }
  state_->commands.emplace_back(std::move(reply));
}

}  // namespace daisywind::configuration
