#include "history/load_change_feed.h"

#include <algorithm>

namespace daisywind::history {
namespace {

// Ages are told in whole milliseconds, so one failure may seem to be two that
// are this far apart.
constexpr auto kSame = duration(10ms);

auto SumOf(const load_sample& sample) -> std::uint32_t {
  return sample.running + sample.waiting;
}

auto Difference(std::uint32_t a, std::uint32_t b) -> std::uint32_t {
  return a > b ? a - b : b - a;
}

}  // namespace

auto load_change_feed::Put(const load_sample& sample, instant now) -> void {
  if (now >= forget_at_) {
    Forget(now);
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
  // A failure that was heard of by several ways is one.
  const auto failed_at = sample.failed_age
                             ? std::optional(now - *sample.failed_age)
                             : std::nullopt;
  const auto is_failure =
      failed_at && (!item.failed_at || *failed_at > *item.failed_at + kSame);
  if (is_failure) {
    item.failed_at = failed_at;
  }
  const auto is_newer = is_new || taken_at > item.taken_at;
  if (is_newer) {
    item.sample = sample;
    item.taken_at = taken_at;
  }
  const auto is_changed =
      is_newer &&
      (Difference(SumOf(sample), item.told_sum) >= options_.min_change ||
       now - item.told_at >= options_.refresh);
  if (is_new || is_failure || is_changed) {
    Tell(item, now);
  }
}

auto load_change_feed::PutFailure(endpoint_key endpoint, instant now) -> void {
  // Without a known load the sample is too old to say anything of it.
  auto sample = load_sample{endpoint, 0, 0, 2 * options_.lifetime, duration(0)};
  if (const auto found = entries_.find(endpoint); found != entries_.end()) {
    sample = found->second.sample;
    sample.age = now - found->second.taken_at;
    sample.failed_age = duration(0);
  }
  Put(sample, now);
}

auto load_change_feed::Tell(entry& item, instant now) -> void {
  order_.erase(item.told_as);
  item.told_sum = SumOf(item.sample);
  item.told_at = now;
  item.told_as = ++last_;
  order_.emplace(last_, item.sample.endpoint);
}

auto load_change_feed::ChangesSince(sequence known, instant now) const
    -> change_batch {
  auto result = change_batch{{}, last_};
  const auto after = known > last_ ? sequence{0} : known;
  for (auto i = order_.rbegin(); i != order_.rend() && i->first > after; ++i) {
    if (result.samples.size() == options_.most_told) {
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

auto load_change_feed::Forget(instant now) -> void {
  forget_at_ = now + options_.lifetime;
  std::erase_if(entries_, [&](const auto& item) {
    const auto newest =
        std::max(item.second.taken_at,
                 item.second.failed_at.value_or(item.second.taken_at));
    const auto is_over = now - newest > options_.lifetime;
    if (is_over) {
      order_.erase(item.second.told_as);
    }
    return is_over;
  });
}

}  // namespace daisywind::history
