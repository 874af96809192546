#include "gateway/lease_keeper.h"

#include <chrono>
#include <utility>

#include "common/process_clock.h"

namespace daisywind::gateway {
namespace {

namespace asio = boost::asio;

constexpr std::string_view kReconcilerKey = "daisywind/reconciler";

auto WholeSeconds(duration time) -> std::int64_t {
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

lease_keeper::lease_keeper(kv::client& client, const vm_ref& self)
    : client_(client),
      holder_(self.vm.value + "@" + std::to_string(self.run)) {}

auto lease_keeper::Acquire(duration time_to_live)
    -> asio::awaitable<migration::event> {
  const auto asked = Now();
  if (lease_ == 0) {
    const auto granted = co_await client_.Grant(WholeSeconds(time_to_live));
    if (granted.outcome != kv::outcome::kAnswered) {
      co_return migration::lease_outcome_unknown{};
    }
    lease_ = granted.response.id;
  }
  auto request = AcquireRequest(holder_, lease_);
  const auto result = co_await client_.Txn(std::move(request));
  if (result.outcome != kv::outcome::kAnswered) {
    // The lease may have ended meanwhile; the next try takes a new one.
    lease_ = 0;
    co_return migration::lease_outcome_unknown{};
  }
  if (result.response.has_succeeded) {
    co_return Granted(static_cast<std::uint64_t>(result.response.revision_at),
                      asked, time_to_live);
  }
  const auto& ranges = result.response.ranges;
  if (ranges.empty() || ranges.front().items.empty() ||
      ranges.front().items.front().value != holder_) {
    co_return migration::lease_held_by_other{};
  }
  // An earlier answer was lost: the key is this run's own.
  const auto& item = ranges.front().items.front();
  co_return co_await Renew(static_cast<std::uint64_t>(item.create_revision),
                           time_to_live);
}

auto lease_keeper::Renew(std::uint64_t fence, duration time_to_live)
    -> asio::awaitable<migration::event> {
  const auto asked = Now();
  const auto kept = co_await client_.KeepAlive(lease_);
  if (kept.outcome != kv::outcome::kAnswered) {
    co_return migration::lease_outcome_unknown{};
  }
  if (kept.response.ttl_seconds <= 0) {
    lease_ = 0;
    co_return migration::lease_lost{};
  }
  co_return Granted(fence, asked, time_to_live);
}

auto lease_keeper::Release() -> asio::awaitable<void> {
  const auto lease = std::exchange(lease_, 0);
  if (lease != 0) {
    co_await client_.Revoke(lease);
  }
}

auto lease_keeper::Granted(std::uint64_t fence,
                           instant asked,
                           duration time_to_live) -> migration::event {
  return migration::lease_granted{fence, asked + time_to_live};
}

}  // namespace daisywind::gateway
