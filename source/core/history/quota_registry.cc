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

// A bucket that holds less than one request would never grant any.
auto Capacity(const request_limit& limit, double members) -> double {
  return std::max(1.0, limit.burst / members);
}

}  // namespace

auto quota_registry::Handle(const quota_request& request,
                            std::size_t members,
                            instant now) -> quota_reply {
  if (now >= cleanup_at_) {
    RemoveIdle(now);
  }
  auto reply = quota_reply{};
  reply.grants.reserve(request.demands.size());
  for (const auto& demand : request.demands) {
    reply.grants.push_back(
        members > 0 && IsValid(demand.limit)
            ? Grant(demand, double(members), now)
            : quota_grant{demand.organisation, 0, options_.no_member_retry});
  }
  return reply;
}

auto quota_registry::Grant(const quota_demand& demand,
                           double members,
                           instant now) -> quota_grant {
  const auto [found, is_new] = buckets_.try_emplace(
      demand.organisation, bucket{demand.limit, 0, started_at_});
  auto& item = found->second;
  // A front may lag behind the others' configuration.
  if (demand.limit.version >= item.limit.version) {
    item.limit = demand.limit;
  }
  const auto rate = item.limit.per_second / members;
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
    grant.retry_after = std::chrono::ceil<duration>(
        std::chrono::duration<double>((1.0 - item.level) / rate));
  }
  return grant;
}

auto quota_registry::RemoveIdle(instant now) -> void {
  cleanup_at_ = now + options_.idle_lifetime;
  std::erase_if(buckets_, [&](const auto& entry) {
    return now - entry.second.updated_at > options_.idle_lifetime;
  });
}

}  // namespace daisywind::history
