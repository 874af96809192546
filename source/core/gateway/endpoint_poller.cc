#include "gateway/endpoint_poller.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <charconv>
#include <limits>
#include <optional>
#include <utility>

#include "common/json.h"
#include "common/process_clock.h"
#include "gateway/json_calls.h"
#include "gateway/metrics_text.h"

namespace daisywind::gateway {
namespace {

namespace asio = boost::asio;

constexpr auto kBlockHashDigits = std::size_t{16};
constexpr auto kHexBase = 16;
constexpr duration kReadTimeout = 1s;
// Limits the polling cost of one VM independently of the number of endpoints
// that it watches.
constexpr auto kMaxReadsPerSecond = std::int64_t{128};
constexpr auto kOk = 200U;
constexpr std::string_view kRunningGauge = "vllm:num_requests_running";
constexpr std::string_view kWaitingGauge = "vllm:num_requests_waiting";

auto ToCacheEventKind(std::string_view type) -> policy::cache_event_kind {
  if (type == "removed") {
    return policy::cache_event_kind::kRemoved;
  }
  return type == "cleared" ? policy::cache_event_kind::kCleared
                           : policy::cache_event_kind::kStored;
}

auto ToBlockHash(std::string_view name) -> policy::block_hash {
  auto block = policy::block_hash{0};
  const auto digits = name.substr(0, kBlockHashDigits);
  std::from_chars(digits.data(), digits.data() + digits.size(), block,
                  kHexBase);
  return block;
}

auto ToCacheEvent(const json::object& object) -> policy::cache_event {
  auto event = policy::cache_event{};
  event.sequence = static_cast<std::uint64_t>(IntegerOr(object, "seq", 0));
  event.kind = ToCacheEventKind(StringOr(object, "type", "stored"));
  if (const auto* blocks = ArrayOrNull(object, "blocks")) {
    for (const auto& block : *blocks) {
      if (block.is_string()) {
        event.blocks.push_back(ToBlockHash(
            {block.get_string().data(), block.get_string().size()}));
      }
    }
  }
  return event;
}

// A larger count than the type holds is read as its maximum, as the endpoint is
// anything but idle.
auto SaturatedCount(const json::object& object, std::string_view key)
    -> std::uint32_t {
  constexpr auto kMax =
      std::uint64_t{std::numeric_limits<std::uint32_t>::max()};
  return static_cast<std::uint32_t>(std::min(CountOrZero(object, key), kMax));
}

}  // namespace

endpoint_poller::endpoint_poller(asio::io_context& context,
                                 net::http_client& client,
                                 const endpoint_directory& endpoints,
                                 policy::scheduler& scheduler,
                                 const scheduler_adapter& calls,
                                 duration interval)
    : context_(context),
      client_(client),
      endpoints_(endpoints),
      scheduler_(scheduler),
      calls_(calls),
      interval_(interval) {}

auto endpoint_poller::Expedite(const endpoint_id& endpoint) -> void {
  states_[endpoint].due = instant{};
}

auto endpoint_poller::Tick(instant now) -> void {
  const auto watched = scheduler_.WatchedEndpoints();
  const auto count = static_cast<std::int64_t>(watched.size());
  const auto interval =
      std::max<duration>(interval_, count * duration(1s) / kMaxReadsPerSecond);
  for (const auto& endpoint : watched) {
    const auto entry = endpoints_.Find(endpoint);
    auto& state = states_[endpoint];
    if (!entry || state.is_reading || now < state.due) {
      continue;
    }
    state.is_reading = true;
    state.due = now + interval;
    asio::co_spawn(context_, Poll(endpoint, *entry), asio::detached);
  }
}

auto endpoint_poller::Poll(endpoint_id endpoint, endpoint_entry entry)
    -> asio::awaitable<void> {
  auto is_reachable = false;
  if (entry.kind == configuration::endpoint_kind::kEngine) {
    is_reachable = co_await ReadEngineLoad(endpoint, entry.address);
    if (is_reachable) {
      co_await ReadCacheEvents(endpoint, entry.address);
    }
  } else {
    is_reachable = co_await ReadServiceLoad(endpoint, entry.address);
  }
  auto& state = states_[endpoint];
  if (state.was_reachable && !is_reachable) {
    const auto bodies = calls_.RunningBodies(endpoint);
    scheduler_.OnEndpointCrash(endpoint, bodies, Now());
  }
  state.was_reachable = is_reachable;
  state.is_reading = false;
}

auto endpoint_poller::ReadEngineLoad(const endpoint_id& endpoint,
                                     net::socket_address address)
    -> asio::awaitable<bool> {
  auto request = net::http_request{"GET", "/metrics", {}, ""};
  const auto options = ShortOptions(kReadTimeout);
  const auto requested_at = Now();
  const auto answer =
      co_await client_.Send(std::move(address), std::move(request), options);
  if (answer.outcome != net::http_outcome::kAnswered) {
    co_return answer.outcome == net::http_outcome::kNoAnswer;
  }
  const auto running = ReadGauge(answer.response.body, kRunningGauge);
  const auto waiting = ReadGauge(answer.response.body, kWaitingGauge);
  // Without both, the last known load stays.
  if (answer.response.status == kOk && running && waiting) {
    const auto report =
        policy::load_report{endpoint, requested_at, *running, *waiting};
    scheduler_.OnLoadReport(report, Now());
  }
  co_return true;
}

auto endpoint_poller::ReadServiceLoad(const endpoint_id& endpoint,
                                      net::socket_address address)
    -> asio::awaitable<bool> {
  const auto requested_at = Now();
  const auto body = co_await GetObject(client_, std::move(address), "/v1/load");
  if (!body) {
    co_return false;
  }
  const auto report = policy::load_report{endpoint, requested_at,
                                          SaturatedCount(*body, "running"),
                                          SaturatedCount(*body, "queued")};
  scheduler_.OnLoadReport(report, Now());
  co_return true;
}

auto endpoint_poller::ReadCacheEvents(const endpoint_id& endpoint,
                                      net::socket_address address)
    -> asio::awaitable<void> {
  auto target =
      "/v1/cache_events?since=" + std::to_string(states_[endpoint].next_event);
  const auto body =
      co_await GetObject(client_, std::move(address), std::move(target));
  if (!body) {
    co_return;
  }
  auto events = std::vector<policy::cache_event>{};
  if (const auto* list = ArrayOrNull(*body, "events")) {
    for (const auto& item : *list) {
      if (item.is_object()) {
        events.push_back(ToCacheEvent(item.get_object()));
      }
    }
  }
  states_[endpoint].next_event =
      static_cast<std::uint64_t>(IntegerOr(*body, "next", 0));
  scheduler_.OnCacheEvents(endpoint, events, Now());
}

auto ReadLeavingVms(net::http_client& client, net::socket_address address)
    -> asio::awaitable<std::optional<std::vector<endpoint_id>>> {
  const auto body = co_await GetObject(client, std::move(address), "/v1/vms");
  const auto* list = body ? ArrayOrNull(*body, "vms") : nullptr;
  if (list == nullptr) {
    co_return std::nullopt;
  }
  auto leaving = std::vector<endpoint_id>{};
  for (const auto& item : *list) {
    if (item.is_object() &&
        StringOr(item.get_object(), "state", "live") == "leaving") {
      leaving.emplace_back(StringOr(item.get_object(), "id", ""));
    }
  }
  co_return leaving;
}

}  // namespace daisywind::gateway
