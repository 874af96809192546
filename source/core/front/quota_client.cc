#include "front/quota_client.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <utility>
#include <variant>
#include <vector>

#include "common/process_clock.h"

namespace daisywind::front {

namespace asio = boost::asio;
using history::quota_state;

// A request that waits for a credit.
struct quota_client::waiter {
  explicit waiter(asio::io_context& context) : timer(context) {}

  asio::steady_timer timer;
  std::optional<quota_result> result;
};

struct quota_client::pending_request {
  explicit pending_request(asio::io_context& context) : slow_timer(context) {}

  history::quota_request request;
  history::view_number view = 0;
  instant sent_at{};
  asio::steady_timer slow_timer;
};

quota_client::quota_client(asio::io_context& context,
                           vm_id self,
                           history::turn_client& turns,
                           quota_client_options options)
    : context_(context),
      self_(std::move(self)),
      turns_(turns),
      options_(options) {}

quota_client::~quota_client() = default;

auto quota_client::Acquire(organisation_id organisation,
                           history::request_limit limit)
    -> asio::awaitable<quota_result> {
  const auto now = Now();
  UpdateMembers();
  // No member can be reached, or too few for turns; another front may reach
  // them.
  if (!turns_.HasQuorum()) {
    had_quorum_ = false;
    co_return quota_result{};
  }
  if (!std::exchange(had_quorum_, true)) {
    credits_.ForgetFailures();
  }
  credits_.OnArrival(organisation, limit, now);
  // Those that wait already come first.
  const auto is_first = !waiting_.contains(organisation);
  auto result = quota_result{};
  if (is_first) {
    result.credit = credits_.Take(organisation, now);
  }
  result.state = result.credit ? quota_state::kGranted
                               : credits_.StateOf(organisation, now);
  if (!result.credit && (result.state == quota_state::kPending || !is_first)) {
    result = co_await Wait(organisation);
  }
  if (result.state == quota_state::kUnknown && credits_.HaveAllFailed(Now())) {
    turns_.SuspectQuorumLoss(Now() - now);
  }
  if (result.state == quota_state::kExceeded) {
    result.retry_after = credits_.RetryAfter(organisation, Now());
  }
  co_return result;
}

auto quota_client::Wait(const organisation_id& organisation)
    -> asio::awaitable<quota_result> {
  const auto self = std::make_shared<waiter>(context_);
  self->timer.expires_after(options_.timeout);
  auto& queue = waiting_[organisation];
  queue.push_back(self);
  credits_.SetWaiting(organisation, static_cast<std::uint32_t>(queue.size()));
  SendRequests();
  co_await self->timer.async_wait(asio::as_tuple(asio::use_awaitable));
  if (self->result) {
    co_return *self->result;
  }
  const auto found = waiting_.find(organisation);
  if (found != waiting_.end()) {
    std::erase(found->second, self);
    credits_.SetWaiting(organisation,
                        static_cast<std::uint32_t>(found->second.size()));
    if (found->second.empty()) {
      waiting_.erase(found);
    }
  }
  // Some members may have said that they have nothing left, and none has
  // anything for so many requests.
  auto result = quota_result{};
  result.state = credits_.HasEmptyMember(organisation, Now())
                     ? quota_state::kExceeded
                     : quota_state::kUnknown;
  co_return result;
}

auto quota_client::Return(const organisation_id& organisation,
                          const history::quota_credit& credit) -> void {
  credits_.Return(organisation, credit, Now());
  ServeWaiters();
}

auto quota_client::Tick(instant now) -> void {
  credits_.Tick(now);
  ServeWaiters();
  SendRequests();
}

auto quota_client::UpdateMembers() -> void {
  if (view_ == turns_.current().number) {
    return;
  }
  view_ = turns_.current().number;
  auto addresses = std::vector<std::string>{};
  for (const auto& member : turns_.MembersNearestTo(self_)) {
    addresses.push_back(member.address);
  }
  credits_.SetMembers(std::move(addresses));
}

auto quota_client::SendRequests() -> void {
  for (const auto& member : credits_.members()) {
    if (pending_.contains(member)) {
      continue;
    }
    if (auto request = credits_.MakeRequest(member, Now())) {
      Send(member, std::move(*request));
    }
  }
}

auto quota_client::Send(const std::string& member,
                        history::quota_request request) -> void {
  const auto pending = std::make_shared<pending_request>(context_);
  pending_[member] = pending;
  pending->request = request;
  pending->view = turns_.current().number;
  pending->sent_at = Now();
  // The timer's handler may already be queued when the reply arrives, and the
  // reply's when this object ends.
  pending->slow_timer.expires_after(options_.hedge_delay);
  pending->slow_timer.async_wait([this, member, weak = std::weak_ptr(pending)](
                                     const boost::system::error_code& error) {
    const auto slow = weak.lock();
    if (error || slow == nullptr) {
      return;
    }
    credits_.OnSlow(member, slow->request);
    ServeWaiters();
    SendRequests();
  });
  turns_.ClientFor(member)->SendRequest(
      pending->view, std::move(request), options_.timeout,
      [this, member, weak = std::weak_ptr(pending)](
          std::optional<history::message_body> reply) {
        if (const auto answered = weak.lock()) {
          pending_.erase(member);
          OnReply(member, *answered, std::move(reply));
        }
      });
}

auto quota_client::OnReply(const std::string& member,
                           const pending_request& pending,
                           std::optional<history::message_body> reply) -> void {
  const auto* granted =
      reply ? std::get_if<history::quota_reply>(&*reply) : nullptr;
  const auto* stale =
      reply ? std::get_if<history::stale_view>(&*reply) : nullptr;
  if (stale != nullptr) {
    turns_.Adopt(stale->newest);
    UpdateMembers();
  }
  if (granted != nullptr) {
    credits_.ProcessReply(member, pending.request, *granted, pending.sent_at,
                          Now());
  } else if (stale != nullptr && view_ > pending.view) {
    credits_.OnRejected(member, pending.request);
  } else {
    credits_.OnFailure(member, pending.request, Now());
  }
  ServeWaiters();
  SendRequests();
}

auto quota_client::ServeWaiters() -> void {
  const auto now = Now();
  for (auto entry = waiting_.begin(); entry != waiting_.end();) {
    auto& [organisation, queue] = *entry;
    while (!queue.empty()) {
      auto result = quota_result{};
      result.credit = credits_.Take(organisation, now);
      result.state = result.credit ? quota_state::kGranted
                                   : credits_.StateOf(organisation, now);
      if (result.state == quota_state::kPending) {
        break;
      }
      queue.front()->result = std::move(result);
      queue.front()->timer.cancel();
      queue.pop_front();
    }
    credits_.SetWaiting(organisation, static_cast<std::uint32_t>(queue.size()));
    entry = queue.empty() ? waiting_.erase(entry) : std::next(entry);
  }
}

}  // namespace daisywind::front
