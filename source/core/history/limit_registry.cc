#include "history/limit_registry.h"

namespace daisywind::history {

auto limit_registry::Handle(const limits_request& request, instant now)
    -> limits_reply {
  RemoveExpired(now);
  AddSender(request.sender, now);
  for (const auto& sample : request.limits) {
    AddSample(sample, now);
  }
  auto reply = limits_reply{version_, std::nullopt};
  if (request.known_version != version_) {
    reply.state = State(now);
  }
  return reply;
}

auto limit_registry::AddSender(const sender_state& sender, instant now)
    -> void {
  auto& entry = senders_[sender.location.vm];
  if (entry.state != sender) {
    entry.state = sender;
    ++version_;
  }
  entry.heard_at = now;
}

auto limit_registry::AddSample(const rate_limit_sample& sample, instant now)
    -> void {
  const auto observed_at = now - sample.age;
  const auto [found, is_new] = limits_.try_emplace(
      sample.endpoint, limit_entry{sample.per_second, observed_at});
  auto& entry = found->second;
  if (is_new) {
    ++version_;
    return;
  }
  if (observed_at <= entry.observed_at) {
    return;
  }
  entry.observed_at = observed_at;
  if (entry.per_second != sample.per_second) {
    entry.per_second = sample.per_second;
    ++version_;
  }
}

auto limit_registry::RemoveExpired(instant now) -> void {
  const auto removed_senders = std::erase_if(senders_, [&](const auto& item) {
    return now - item.second.heard_at > options_.sender_lifetime;
  });
  const auto removed_limits = std::erase_if(limits_, [&](const auto& item) {
    return now - item.second.observed_at > options_.limit_lifetime;
  });
  if (removed_senders + removed_limits > 0) {
    ++version_;
  }
}

auto limit_registry::State(instant now) const -> limit_state {
  auto state = limit_state{};
  state.senders.reserve(senders_.size());
  for (const auto& [vm, entry] : senders_) {
    state.senders.push_back(entry.state);
  }
  state.limits.reserve(limits_.size());
  for (const auto& [endpoint, entry] : limits_) {
    state.limits.push_back(
        {endpoint, entry.per_second, now - entry.observed_at});
  }
  return state;
}

}  // namespace daisywind::history
