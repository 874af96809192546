#include "history/load_change_feed.h"

#include <algorithm>

namespace daisywind::history {
namespace {

// Ages are sent in whole milliseconds, so two reports of one failure may seem
// to be this far apart.
constexpr auto kSameFailureWindow = duration(10ms);

auto TotalRequests(const load_sample& sample) -> std::uint32_t {
  return sample.running + sample.waiting;
}

auto Difference(std::uint32_t a, std::uint32_t b) -> std::uint32_t {
  return a > b ? a - b : b - a;
}

}  // namespace

auto load_change_feed::Put(const load_sample& sample, instant now) -> void {
  if (now >= cleanup_at_) {
    RemoveExpired(now);
  }
  const auto taken_at = now - sample.age;
  const auto has_failed =
      sample.failed_age && *sample.failed_age <= options_.lifetime;
  if (sample.age > options_.lifetime && !has_failed) {
    return;
  }
  const auto [found, is_new] = entries_.try_emplace(sample.endpoint);
  auto& item = found->second;
  if (is_new) {
    item.sample.endpoint = sample.endpoint;
  }
  // Reports of one failure can arrive on several paths and count once.
  const auto failed_at = sample.failed_age
                             ? std::optional(now - *sample.failed_age)
                             : std::nullopt;
  const auto is_failure =
      failed_at &&
      (!item.failed_at || *failed_at > *item.failed_at + kSameFailureWindow);
  if (is_failure) {
    item.failed_at = failed_at;
  }
  const auto is_newer = is_new || taken_at > item.taken_at;
  if (is_newer) {
    item.sample = sample;
    item.taken_at = taken_at;
  }
  const auto is_changed =
      is_newer && (Difference(TotalRequests(sample), item.published_total) >=
                       options_.min_change ||
                   now - item.published_at >= options_.refresh_interval);
  if (is_new || is_failure || is_changed) {
    Publish(item, now);
  }
}

auto load_change_feed::PutFailure(endpoint_key endpoint, instant now) -> void {
  // Without a known load, the sample gets an age beyond its lifetime so that it
  // replaces no other load.
  auto sample = load_sample{endpoint, 0, 0, 2 * options_.lifetime, duration(0)};
  if (const auto found = entries_.find(endpoint); found != entries_.end()) {
    sample = found->second.sample;
    sample.age = now - found->second.taken_at;
    sample.failed_age = duration(0);
  }
  Put(sample, now);
}

auto load_change_feed::Publish(entry& item, instant now) -> void {
  by_sequence_.erase(item.published_sequence);
  item.published_total = TotalRequests(item.sample);
  item.published_at = now;
  item.published_sequence = ++last_sequence_;
  by_sequence_.emplace(last_sequence_, item.sample.endpoint);
}

auto load_change_feed::ChangesSince(sequence since, instant now) const
    -> change_batch {
  auto result = change_batch{{}, last_sequence_};
  const auto after = since > last_sequence_ ? sequence{0} : since;
  for (auto i = by_sequence_.rbegin();
       i != by_sequence_.rend() && i->first > after; ++i) {
    if (result.samples.size() == options_.max_samples) {
      break;
    }
    const auto& item = entries_.at(i->second);
    auto sample = item.sample;
    sample.age = std::max(duration(0), now - item.taken_at);
    sample.failed_age.reset();
    if (item.failed_at && now - *item.failed_at <= options_.lifetime) {
      sample.failed_age = now - *item.failed_at;
    }
    if (sample.age <= options_.lifetime || sample.failed_age) {
      result.samples.push_back(sample);
    }
  }
  return result;
}

auto load_change_feed::RemoveExpired(instant now) -> void {
  cleanup_at_ = now + options_.lifetime;
  std::erase_if(entries_, [&](const auto& item) {
    const auto newest =
        std::max(item.second.taken_at,
                 item.second.failed_at.value_or(item.second.taken_at));
    const auto is_expired = now - newest > options_.lifetime;
    if (is_expired) {
      by_sequence_.erase(item.second.published_sequence);
    }
    return is_expired;
  });
}

}  // namespace daisywind::history
