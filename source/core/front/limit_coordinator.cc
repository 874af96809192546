#include "front/limit_coordinator.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <unordered_set>
#include <utility>

#include "common/endpoint_key.h"
#include "common/log_values.h"
#include "common/logging.h"
#include "common/process_clock.h"
#include "dispatch/limit_share.h"

namespace daisywind::front {

namespace asio = boost::asio;

limit_coordinator::limit_coordinator(asio::io_context& context,
                                     vm_location self,
                                     dispatch::endpoint_table& endpoints,
                                     history::turn_client& turns,
                                     const dispatch::location& here,
                                     senders_handler on_senders,
                                     limit_coordinator_options options)
    : context_(context),
      self_(std::move(self)),
      endpoints_(endpoints),
      turns_(turns),
      here_(here),
      on_senders_(std::move(on_senders)),
      options_(options),
      exchange_(self_),
      timer_(context),
      clients_(context) {}

auto limit_coordinator::Start() -> void {
  asio::co_spawn(context_, Run(), asio::detached);
}

auto limit_coordinator::Stop() -> void {
  is_stopped_ = true;
  timer_.cancel();
}

auto limit_coordinator::SetSelf(std::string relay_address,
                                bool reaches_endpoints) -> void {
  exchange_.SetSelf(std::move(relay_address), reaches_endpoints);
  due_at_ = std::min(due_at_, sent_at_ + options_.min_interval);
  timer_.cancel();
}

auto limit_coordinator::OnResponse(const endpoint_id& endpoint,
                                   std::optional<double> per_second,
                                   std::string_view request,
                                   instant now) -> void {
  if (!exchange_.Observe(KeyOf(endpoint), per_second, now)) {
    return;
  }
  Log(log_events::kRateLimitNamed,
      {{"endpoint", std::string_view(endpoint.value)},
       {"per_second", per_second.value_or(kNoLimit)},
       {"request", request}});
  if (const auto* state = endpoints_.Find(endpoint); state != nullptr) {
    ApplyLimit(*state, exchange_.Senders(now), now);
  }
  due_at_ = std::min(due_at_, sent_at_ + options_.min_interval);
  timer_.cancel();
}

auto limit_coordinator::Tick(instant now) -> void {
  if (exchange_.HasLimits() && now - applied_at_ >= options_.apply_interval) {
    ApplyLimits(now);
  }
}

auto limit_coordinator::Run() -> asio::awaitable<void> {
  while (!is_stopped_) {
    const auto now = Now();
    if (now >= due_at_) {
      SendRequests(now);
    }
    timer_.expires_after(std::max(due_at_ - now, duration(0)));
    co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

auto limit_coordinator::SendRequests(instant now) -> void {
  sent_at_ = now;
  due_at_ = now + (exchange_.HasLimits() ? options_.busy_interval
                                         : options_.idle_interval);
  clients_.CloseNonMembers(turns_.current());
  for (const auto& member : turns_.current().members) {
    clients_.ClientFor(member.address)
        ->SendRequest(
            turns_.current().number, exchange_.MakeRequest(member.address, now),
            options_.request_timeout,
            [this, address = member.address,
             now](std::optional<history::message_body> reply) {
              const auto* received =
                  reply ? std::get_if<history::limits_reply>(&*reply) : nullptr;
              if (received == nullptr) {
                return;
              }
              if (exchange_.ProcessReply(address, *received, now, Now())) {
                ApplyLimits(Now());
              }
              on_senders_(exchange_.SenderStates(Now()));
            });
  }
}

auto limit_coordinator::ApplyLimits(instant now) -> void {
  applied_at_ = now;
  const auto senders = exchange_.Senders(now);
  auto present = std::unordered_set<endpoint_key>{};
  for (const auto& id : endpoints_.Ids()) {
    present.insert(KeyOf(id));
    ApplyLimit(*endpoints_.Find(id), senders, now);
  }
  exchange_.DropMissing(present, now);
}

auto limit_coordinator::ApplyLimit(const dispatch::endpoint_state& state,
                                   const std::vector<vm_location>& senders,
                                   instant now) -> void {
  const auto id = state.entry.id;
  const auto key = KeyOf(id);
  const auto limit = exchange_.LimitOf(key);
  auto share = 0.0;
  if (limit) {
    const auto region = here_.regions.find(state.entry.failure_domain);
    share = dispatch::LimitShare(
        {key, state.entry.failure_domain,
         region == here_.regions.end() ? region_id{} : region->second},
        senders, self_.vm);
  }
  if (endpoints_.SetRateLimit(id, limit, share, now)) {
    Log(log_events::kRateLimitChanged,
        {{"endpoint", std::string_view(id.value)},
         {"per_second", limit.value_or(kNoLimit)},
         {"share", share},
         {"senders", static_cast<std::int64_t>(senders.size())}});
  }
}

}  // namespace daisywind::front
