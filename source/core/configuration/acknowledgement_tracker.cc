#include "configuration/acknowledgement_tracker.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "configuration/rendezvous.h"

namespace daisywind::configuration {
namespace {

// Acknowledgements may be lost, so they are repeated. The first delay is short
// enough for further repetitions within the 14 s in which a version must be
// installed on every VM; later delays double up to the maximum.
constexpr auto kInitialRepeatDelay = duration(2s);
constexpr auto kMaxRepeatDelay = duration(30s);
// A VM can be absent from the member list temporarily, for example while it
// starts. Its entry is kept long enough for its acknowledgement to be repeated.
constexpr auto kUnlistedRetention = 2 * kMaxRepeatDelay;
// If no watcher of a domain has answered within this time, the next watcher of
// that domain is asked.
constexpr auto kWatcherTimeout = duration(500ms);

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

auto acknowledgement_tracker::HandleAcknowledge(
    const acknowledge_message& content,
    instant now) -> void {
  Record(content.state, now);
}

auto acknowledgement_tracker::Record(const acknowledgement& state, instant now)
    -> void {
  const auto [entry, is_new] =
      table_.emplace(state.vm.vm, received_state{state, now});
  if (!is_new && IsNewer(state, entry->second.state)) {
    entry->second = {state, now};
  }
}

auto acknowledgement_tracker::RemoveDeparted(instant now) -> void {
  std::erase_if(table_, [&](const auto& entry) {
    return entry.second.received_at + kUnlistedRetention < now &&
           std::none_of(state_->members.begin(), state_->members.end(),
                        [&](const member& item) {
                          return item.vm == entry.second.state.vm;
                        });
  });
}

auto acknowledgement_tracker::HandlePeerRequest(const vm_ref& from,
                                                const status_request& content,
                                                instant now) -> void {
  auto response = status_response{content.query, {OwnAcknowledgement(now)}};
  for (const auto& [vm, received] : table_) {
    response.states.push_back(received.state);
  }
  state_->Send(from, std::move(response));
}

auto acknowledgement_tracker::HandleResponse(const status_response& content)
    -> void {
  const auto found = queries_.find(content.query);
  if (found != queries_.end()) {
    MergeResponse(found->second, content.states);
  }
}

auto acknowledgement_tracker::HandleStatusQuery(const status_requested& request,
                                                instant now) -> void {
  auto item = query{request, now, 0, {}, {}};
  for (const auto& domain : DomainsOf(state_->members)) {
    item.unanswered.insert(domain);
  }
  Merge(item.states, OwnAcknowledgement(now));
  queries_.emplace(state_->NextId(), std::move(item));
}

auto acknowledgement_tracker::Advance(instant now) -> void {
  const auto& installed = state_->installed.head.info;
  if (installed.ref != own_ref_) {
    own_ref_ = installed.ref;
    own_spread_ms_ = std::max(std::int64_t{0},
                              state_->UnixMs(now) - installed.accepted_unix_ms);
    repeat_delay_ = kInitialRepeatDelay;
    send_at_ = now;
  }
  if (state_->watchers != notified_watchers_) {
    notified_watchers_ = state_->watchers;
    repeat_delay_ = kInitialRepeatDelay;
    send_at_ = now;
  }
  if (now >= send_at_) {
    SendAcknowledgement(now);
  }
  for (auto i = queries_.begin(); i != queries_.end();) {
    const auto is_answered = Proceed(i->first, i->second, now);
    i = is_answered ? queries_.erase(i) : std::next(i);
  }
}

auto acknowledgement_tracker::OwnAcknowledgement(instant now) const
    -> acknowledgement {
  return {state_->self.vm, state_->self.domain,
          state_->installed.head.info.ref.number, own_spread_ms_,
          state_->ProofAgeMs(now)};
}

auto acknowledgement_tracker::SendAcknowledgement(instant now) -> void {
  const auto wait = std::max(repeat_delay_, kInitialRepeatDelay);
  send_at_ = now + state_->Jitter(wait);
  repeat_delay_ = std::min(2 * wait, kMaxRepeatDelay);
  RemoveDeparted(now);
  const auto own = OwnAcknowledgement(now);
  for (const auto& watcher : notified_watchers_) {
    if (watcher.vm == state_->self.vm) {
      Record(own, now);
    } else {
      state_->Send(watcher.vm, acknowledge_message{own});
    }
  }
}

auto acknowledgement_tracker::MergeResponse(
    query& item,
    const std::vector<acknowledgement>& states) -> void {
  for (const auto& state : states) {
    item.unanswered.erase(state.domain);
    Merge(item.states, state);
  }
}

auto acknowledgement_tracker::AskWatchers(std::uint64_t id, query& item)
    -> void {
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
    for (const auto& [vm, received] : table_) {
      Merge(item.states, received.state);
    }
  }
  item.attempts += 1;
}

auto acknowledgement_tracker::Proceed(std::uint64_t id,
                                      query& item,
                                      instant now) -> bool {
  const auto next_attempt_after = kWatcherTimeout * item.attempts;
  const auto is_due = now >= item.started_at + next_attempt_after;
  if (!item.unanswered.empty() && is_due &&
      item.attempts < kWatchersPerDomain) {
    AskWatchers(id, item);
  }
  const auto is_over =
      now >= item.started_at + kWatcherTimeout * (kWatchersPerDomain + 1);
  if (!item.unanswered.empty() && !is_over) {
    return false;
  }
  Reply(item);
  return true;
}

auto acknowledgement_tracker::Reply(const query& item) -> void {
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
