#include "history/quota_registry.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <limits>

namespace daisywind::history {
namespace {

auto Seconds(duration value) -> double {
  return std::chrono::duration<double>(value).count();
}

auto IsValid(const request_limit& limit) -> bool {
  return std::isfinite(limit.per_second) && std::isfinite(limit.burst) &&
         limit.per_second > 0 && limit.burst >= 0;
}

auto RateOf(const request_limit& limit, std::size_t members) -> double {
  return limit.per_second / static_cast<double>(members);
}

}  // namespace

auto quota_registry::OnJoined(instant now) -> void {
  buckets_.clear();
  started_at_ = now;
}

auto quota_registry::Handle(const quota_request& request,
                            std::size_t members,
                            instant now) -> quota_reply {
  if (members > 0 && now >= cleanup_at_) {
    RemoveIdle(members, now);
  }
  auto reply = quota_reply{};
  reply.grants.reserve(request.demands.size());
  for (const auto& demand : request.demands) {
    reply.grants.push_back(
        members > 0 && IsValid(demand.limit)
            ? Grant(demand, members, now)
            : quota_grant{demand.organisation, 0, options_.no_member_retry});
  }
  return reply;
}

auto quota_registry::Capacity(const request_limit& limit,
                              std::size_t members) const -> double {
  return std::max(
      1.0, (limit.burst + options_.extra_burst) / static_cast<double>(members));
}

auto quota_registry::Grant(const quota_demand& demand,
                           std::size_t members,
                           instant now) -> quota_grant {
  const auto [found, is_new] = buckets_.try_emplace(
      demand.organisation, bucket{demand.limit, 0, started_at_});
  auto& item = found->second;
  // A front may lag behind the others' configuration.
  if (demand.limit.version >= item.limit.version) {
    item.limit = demand.limit;
  }
  const auto rate = RateOf(item.limit, members);
  const auto capacity = Capacity(item.limit, members);
  const auto filled = item.level + rate * Seconds(now - item.updated_at) +
                      double(demand.returned);
  item.level = std::min(capacity, filled);
  item.updated_at = now;
  const auto granted =
      std::min(double(demand.wanted), std::floor(std::max(0.0, item.level)));
  item.level -= granted;
  auto grant =
      quota_grant{demand.organisation, static_cast<std::uint32_t>(granted), {}};
  if (granted == 0) {
    const auto until_next =
        std::min((1.0 - item.level) / rate, Seconds(options_.max_retry));
    grant.retry_after = std::chrono::ceil<duration>(
        std::chrono::duration<double>(std::max(0.0, until_next)));
  }
  return grant;
}

auto quota_registry::RemoveIdle(std::size_t members, instant now) -> void {
  cleanup_at_ = now + options_.idle_lifetime;
  // A bucket that is asked about anew counts as full, so one is kept until it
  // is.
  std::erase_if(buckets_, [&](const auto& entry) {
    const auto& item = entry.second;
    const auto age = now - item.updated_at;
    const auto filled = item.level + RateOf(item.limit, members) * Seconds(age);
    return age > options_.idle_lifetime &&
           filled >= Capacity(item.limit, members);
  });
}

}  // namespace daisywind::history
