#include "gateway/reconciler_lease.h"

#include <chrono>
#include <utility>

#include "common/process_clock.h"

namespace daisywind::gateway {
namespace {

namespace asio = boost::asio;

constexpr std::string_view kReconcilerKey = "daisywind/reconciler";

auto CeilToSeconds(duration time) -> std::int64_t {
  return std::chrono::ceil<std::chrono::seconds>(time).count();
}

auto AcquireRequest(const std::string& holder, kv::lease_id lease)
    -> kv::txn_request {
  const auto key = std::string(kReconcilerKey);
  auto request = kv::txn_request{};
  request.compares.push_back({key, 0});
  request.success.emplace_back(kv::put_request{key, holder, lease});
  request.failure.emplace_back(kv::range_request{key, "", 1, false});
  return request;
}

}  // namespace

reconciler_lease::reconciler_lease(kv::client& client, const vm_ref& self)
    : client_(client),
      holder_(self.vm.value + "@" + std::to_string(self.run)) {}

auto reconciler_lease::Acquire(duration time_to_live)
    -> asio::awaitable<migration::event> {
  const auto requested_at = Now();
  if (lease_ == 0) {
    const auto granted = co_await client_.Grant(CeilToSeconds(time_to_live));
    if (granted.outcome != kv::outcome::kAnswered) {
      co_return migration::lease_outcome_unknown{};
    }
    lease_ = granted.response.id;
  }
  auto request = AcquireRequest(holder_, lease_);
  const auto result = co_await client_.Txn(std::move(request));
  if (result.outcome != kv::outcome::kAnswered) {
    // The lease may have expired in the meantime. The next attempt requests a
    // new one.
    lease_ = 0;
    co_return migration::lease_outcome_unknown{};
  }
  if (result.response.has_succeeded) {
    co_return MakeLeaseGranted(
        static_cast<std::uint64_t>(result.response.revision_at), requested_at,
        time_to_live);
  }
  const auto& ranges = result.response.ranges;
  if (ranges.empty() || ranges.front().items.empty() ||
      ranges.front().items.front().value != holder_) {
    co_return migration::lease_held_by_other{};
  }
  // This process already holds the key: the response to an earlier transaction
  // was lost.
  const auto& item = ranges.front().items.front();
  co_return co_await Renew(static_cast<std::uint64_t>(item.create_revision),
                           time_to_live);
}

auto reconciler_lease::Renew(std::uint64_t fence, duration time_to_live)
    -> asio::awaitable<migration::event> {
  const auto requested_at = Now();
  const auto renewed = co_await client_.KeepAlive(lease_);
  if (renewed.outcome != kv::outcome::kAnswered) {
    co_return migration::lease_outcome_unknown{};
  }
  if (renewed.response.ttl_seconds <= 0) {
    lease_ = 0;
    co_return migration::lease_lost{};
  }
  co_return MakeLeaseGranted(fence, requested_at, time_to_live);
}

auto reconciler_lease::Release() -> asio::awaitable<void> {
  const auto lease = std::exchange(lease_, 0);
  if (lease != 0) {
    co_await client_.Revoke(lease);
  }
}

auto reconciler_lease::MakeLeaseGranted(std::uint64_t fence,
                                        instant requested_at,
                                        duration time_to_live)
    -> migration::event {
  return migration::lease_granted{fence, requested_at + time_to_live};
}

}  // namespace daisywind::gateway
