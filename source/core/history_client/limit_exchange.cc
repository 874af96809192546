#include "history_client/limit_exchange.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace daisywind::history {

auto limit_exchange::Observe(endpoint_key endpoint,
                             std::optional<double> per_second,
                             instant now) -> bool {
  const auto found = limits_.find(endpoint);
  if (found == limits_.end() && !per_second) {
    return false;
  }
  const auto is_news =
      found == limits_.end() || found->second.per_second != per_second;
  limits_.insert_or_assign(endpoint, known_limit{per_second, now, true});
  return is_news;
}

auto limit_exchange::MakeRequest(const std::string& member, instant now) const
    -> limits_request {
  auto request = limits_request{self_, {}, 0};
  auto confirmed_up_to = instant{};
  if (const auto found = members_.find(member); found != members_.end()) {
    request.known_version = found->second.version;
    confirmed_up_to = found->second.confirmed_up_to;
  }
  for (const auto& [endpoint, known] : limits_) {
    if (known.is_own && known.observed_at > confirmed_up_to) {
      request.limits.push_back(
          {endpoint, known.per_second, now - known.observed_at});
    }
  }
  return request;
}

auto limit_exchange::ProcessReply(const std::string& member,
                                  const limits_reply& reply,
                                  instant sent_at,
                                  instant now) -> bool {
  const auto senders_before = Senders(now);
  auto is_changed = false;
  auto& state = members_[member];
  state.version = reply.version;
  state.replied_at = now;
  state.confirmed_up_to = std::max(state.confirmed_up_to, sent_at);
  if (reply.state) {
    state.senders = reply.state->senders;
    for (const auto& sample : reply.state->limits) {
      const auto observed_at = now - sample.age;
      const auto [found, is_new] = limits_.try_emplace(sample.endpoint);
      auto& known = found->second;
      if (!is_new && observed_at <= known.observed_at) {
        continue;
      }
      is_changed |= known.per_second != sample.per_second;
      known = {sample.per_second, observed_at, false};
    }
  }
  return is_changed || Senders(now) != senders_before;
}

auto limit_exchange::LimitOf(endpoint_key endpoint) const
    -> std::optional<double> {
  const auto found = limits_.find(endpoint);
  return found == limits_.end() ? std::nullopt : found->second.per_second;
}

auto limit_exchange::HasLimits() const -> bool {
  return std::any_of(limits_.begin(), limits_.end(), [](const auto& item) {
    return item.second.per_second.has_value();
  });
}

auto limit_exchange::Senders(instant now) const -> std::vector<vm_location> {
  auto all = std::set<vm_location>{};
  for (const auto& [address, state] : members_) {
    if (now - state.replied_at <= options_.reply_lifetime) {
      for (const auto& sender : state.senders) {
        all.insert(sender.location);
      }
    }
  }
  return {all.begin(), all.end()};
}

auto limit_exchange::SetSelf(std::string relay_address, bool reaches_endpoints)
    -> void {
  self_.relay_address = std::move(relay_address);
  self_.reaches_endpoints = reaches_endpoints;
}

auto limit_exchange::SenderStates(instant now) const
    -> std::vector<sender_state> {
  struct said_state {
    sender_state state;
    instant said_at;
  };
  auto newest = std::map<vm_id, said_state>{};
  for (const auto& [address, member] : members_) {
    if (now - member.replied_at > options_.relay_lifetime) {
      continue;
    }
    for (const auto& sender : member.senders) {
      auto& known = newest[sender.location.vm];
      if (member.replied_at >= known.said_at) {
        known = {sender, member.replied_at};
      }
    }
  }
  auto all = std::vector<sender_state>{};
  all.reserve(newest.size());
  for (auto& [vm, item] : newest) {
    all.push_back(std::move(item.state));
  }
  return all;
}

auto limit_exchange::DropMissing(
    const std::unordered_set<endpoint_key>& endpoints,
    instant now) -> void {
  std::erase_if(limits_, [&](const auto& item) {
    return !endpoints.contains(item.first) &&
           now - item.second.observed_at > options_.missing_lifetime;
  });
}

}  // namespace daisywind::history
