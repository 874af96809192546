#include "front/front_node.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <chrono>
#include <utility>

#include "common/log_values.h"
#include "common/logging.h"
#include "common/process_clock.h"
#include "front/attempt_options.h"
#include "front/front_settings.h"
#include "front/request_flow.h"
#include "net/message_limits.h"

namespace daisywind::front {
namespace {

namespace asio = boost::asio;

constexpr auto kTickInterval = std::chrono::milliseconds(100);
// A delay of the event loop that callers notice.
constexpr auto kLateTick = duration(200ms);
// Time left at the end of the grace period to answer the requests that are
// still under way and to exit, if the period is long.
constexpr auto kStopReserve = duration(700ms);
constexpr auto kDrainPollInterval = duration(50ms);

auto LocationFrom(const settings& values) -> dispatch::location {
  auto location_of_vm =
      dispatch::location{failure_domain_id(values.Get(kFailureDomain)),
                         region_id(values.Get(kRegion)),
                         {}};
  for (const auto& item : values.GetList(kFailureDomains)) {
    const auto position = item.find('=');
    if (position != std::string::npos) {
      location_of_vm.regions.emplace(
          failure_domain_id(item.substr(0, position)),
          region_id(item.substr(position + 1)));
    }
  }
  return location_of_vm;
}

auto SelfFrom(const settings& values) -> vm_location {
  return {vm_id(values.Get(kVm)), failure_domain_id(values.Get(kFailureDomain)),
          region_id(values.Get(kRegion))};
}

auto RelayChannelOptions() -> net::channel_options {
  auto options = net::channel_options{};
  options.connect_timeout = kConnectTimeout;
  return options;
}

auto TurnClientOptions(const settings& values) -> history::turn_client_options {
  auto options = history::turn_client_options{};
  options.failure_domain = failure_domain_id(values.Get(kFailureDomain));
  options.region = region_id(values.Get(kRegion));
  options.tolerated_losses =
      static_cast<std::size_t>(values.Get(kToleratedDiskLosses));
  options.max_chain_bytes = MessageMemory(values);
  return options;
}

auto DirectoryOptions(const settings& values) -> directory_options {
  auto options = directory_options{};
  options.watch = kv::WatchOptionsFor(ChangeTimeLimit(values));
  if (const auto lifetime = KeyProofLifetime(values)) {
    options.watch = kv::WithMaxAge(options.watch, *lifetime);
    options.watch.repeats_failed_calls = true;
  }
  return options;
}

// The watch asks journals of all regions itself if it needs proofs.
auto FallbackOptions(const settings& values) -> store_fallback_options {
  auto options = store_fallback_options{};
  options.asks_while_configured = !KeyProofLifetime(values);
  return options;
}

auto MirrorOptions(const settings& values) -> history::mirrored_store_options {
  const auto options =
      history::MirroredStoreOptionsFor(ChangeTimeLimit(values));
  const auto lifetime = KeyProofLifetime(values);
  return lifetime ? history::WithProofs(options, *lifetime) : options;
}

auto ReportOf(const history::load_sample& sample) -> dispatch::load_report {
  constexpr auto kPercent = 100.0;
  auto report = dispatch::load_report{sample.running, sample.waiting};
  if (sample.pace_percent != 0) {
    report.pace = sample.pace_percent / kPercent;
  }
  return report;
}

auto Listen(net::http_server& server, const std::string& address) -> bool {
  const auto parsed = net::ParseSocketAddress(address);
  return parsed && server.Listen(*parsed) != 0;
}

}  // namespace

auto StopSchedule(duration grace, duration accept) -> stop_schedule {
  return {std::min(accept, grace / 3),
          grace - std::min(kStopReserve, grace / 10)};
}

front_node::front_node(asio::io_context& context,
                       const settings& values,
                       const adapters& platform)
    : context_(context),
      platform_(platform),
      location_(LocationFrom(values)),
      key_proof_lifetime_(KeyProofLifetime(values)),
      waiting_(context),
      random_(SystemSeed()),
      response_memory_(static_cast<std::size_t>(values.Get(kResponseMemoryMb))
                       << 20U),
      ordinary_response_memory_(
          std::make_shared<byte_budget>(MessageMemory(values))),
      request_memory_(std::make_shared<byte_budget>(MessageMemory(values))),
      unsent_memory_(std::make_shared<byte_budget>(
          static_cast<std::size_t>(values.Get(kResponseMemoryMb)) << 20U)),
      relay_memory_(std::make_shared<byte_budget>(MessageMemory(values))),
      endpoint_client_(context),
      turns_(context,
             TurnClientOptions(values),
             nullptr,
             [this](const history::load_sample& sample, instant now) {
               auto& endpoints = directory_.endpoints();
               endpoints.OnSharedReport(sample.endpoint, ReportOf(sample),
                                        now - sample.age);
               if (sample.failed_age) {
                 endpoints.OnSharedFailure(sample.endpoint,
                                           now - *sample.failed_age);
               }
             }),
      store_(
          context,
          platform.store,
          region_id(values.Get(kRegion)),
          [this]() -> const history::view& { return turns_.current(); },
          MirrorOptions(values)),
      directory_(context,
                 store_,
                 platform.directory,
                 DirectoryOptions(values),
                 {[this](const history::view& newest) { turns_.Adopt(newest); },
                  [this] { ApplyLimits(); }}),
      paths_(context,
             SelfFrom(values),
             directory_.endpoints(),
             endpoint_client_,
             [this] { OnPathChanged(); }),
      relays_(context, RelayChannelOptions()),
      relay_service_(context,
                     platform.requests,
                     directory_.endpoints(),
                     paths_,
                     endpoint_client_,
                     relay_memory_),
      fallback_(context,
                directory_,
                turns_,
                values.GetList(kJournalSeeds),
                FallbackOptions(values)),
      limits_(context,
              SelfFrom(values),
              directory_.endpoints(),
              turns_,
              location_,
              [this](std::vector<history::sender_state> senders) {
                directory_.endpoints().SetFrontCount(
                    std::max<std::size_t>(1, senders.size()));
                paths_.SetFronts(std::move(senders));
              },
              {}),
      quotas_(context, SelfFrom(values).vm, turns_, {}),
      callers_(context,
               {},
               [this](net::http_exchange& exchange) -> asio::awaitable<void> {
                 co_await ServeRequest(*this, exchange);
               }),
      ready_(context,
             {},
             [this](net::http_exchange& exchange) {
               return ServeReady(exchange);
             }),
      metrics_server_(context,
                      {},
                      [this](net::http_exchange& exchange) {
                        return ServeMetrics(exchange);
                      }),
      timer_(context),
      caller_address_(values.Get(kCallerAddress)),
      ready_address_(values.Get(kReadyAddress)),
      metrics_address_(values.Get(kMetricsAddress)),
      relay_address_(values.Get(kRelayAddress)),
      max_connections_(static_cast<std::size_t>(values.Get(kMaxConnections))),
      grace_(std::chrono::duration_cast<duration>(
          std::chrono::duration<double>(values.Get(kGraceSeconds)))),
      stop_schedule_(
          StopSchedule(grace_,
                       std::chrono::milliseconds(values.Get(kLeaveMs)))) {}

front_node::~front_node() = default;

auto front_node::Start() -> bool {
  ApplyLimits();
  callers_.SetMemory(request_memory_);
  callers_.SetUnsentMemory(unsent_memory_);
  for (auto* server : {&ready_, &metrics_server_}) {
    server->UpdateLimits(net::ProbeLimits());
    server->SetMemory(std::make_shared<byte_budget>(net::kProbeMemory));
    server->SetUnsentMemory(unsent_memory_);
  }
  if (!Listen(callers_, caller_address_) || !Listen(ready_, ready_address_)) {
    return false;
  }
  if (!metrics_address_.empty() && !Listen(metrics_server_, metrics_address_)) {
    return false;
  }
  if (!relay_address_.empty() && !ListenForRelays()) {
    return false;
  }
  directory_.Start();
  fallback_.Start();
  paths_.Start();
  AnnounceRelay();
  limits_.Start();
  asio::co_spawn(context_, Tick(), asio::detached);
  return true;
}

auto front_node::ListenForRelays() -> bool {
  const auto address = net::ParseSocketAddress(relay_address_);
  return address && relay_service_.server().Listen(*address) != 0;
}

auto front_node::AnnounceRelay() -> void {
  limits_.SetSelf(is_stopping_ ? std::string() : relay_address_,
                  paths_.CanConnect());
}

auto front_node::OnPathChanged() -> void {
  AnnounceRelay();
  if (paths_.IsOpen()) {
    relays_.CloseIdle();
  }
}

auto front_node::ApplyLimits() -> void {
  const auto& configured = directory_.routes().limits();
  auto limits = net::http_limits{};
  limits.max_connections = max_connections_;
  limits.max_head_bytes = configured.max_head_bytes;
  limits.max_body_bytes = configured.max_body_bytes;
  // The configured time-out is that of the head. A long body may take as long
  // again.
  limits.read_timeout = 2 * configured.head_timeout;
  limits.idle_timeout = configured.idle_timeout;
  callers_.UpdateLimits(limits);
}

auto front_node::ServeReady(net::http_exchange& exchange)
    -> asio::awaitable<void> {
  const auto status = platform_.requests.IsReadinessProbe(exchange.request())
                          ? (is_ready_ ? 200U : 503U)
                          : 404U;
  co_await exchange.Respond({status, {}, ""});
}

auto front_node::ServeMetrics(net::http_exchange& exchange)
    -> asio::awaitable<void> {
  metrics_.SetGauge("daisywind_front_requests_under_way", {},
                    static_cast<double>(callers_.ActiveRequestCount()));
  metrics_.SetGauge("daisywind_front_connections", {},
                    static_cast<double>(callers_.ConnectionCount()));
  metrics_.SetGauge("daisywind_front_configuration_version", {},
                    static_cast<double>(directory_.routes().version()));
  metrics_.SetGauge("daisywind_front_endpoint_connections_opened", {},
                    static_cast<double>(endpoint_client_.OpenedConnections()));
  metrics_.SetGauge("daisywind_front_messages_too_large", {},
                    static_cast<double>(net::OversizedMessages()));
  metrics_.SetGauge("daisywind_front_frames_dropped", {},
                    static_cast<double>(net::DroppedFrames()));
  metrics_.SetGauge("daisywind_front_log_lines_dropped", {},
                    static_cast<double>(DroppedLogLines()));
  MeasureLoadSpread(Now());
  co_await exchange.Respond(net::TextResponse(metrics_.Render()));
}

auto front_node::MeasureLoadSpread(instant now) -> void {
  // A service without endpoints stays in the set: its gauges become zero.
  for (auto& service : directory_.endpoints().Services()) {
    measured_services_.insert(std::move(service));
  }
  for (const auto& service : measured_services_) {
    const auto spread = directory_.endpoints().SpreadOf(service, now);
    const auto labels = metric_labels{{"service", service.value}};
    metrics_.SetGauge("daisywind_front_endpoints_reporting", labels,
                      static_cast<double>(spread.reporting));
    metrics_.SetGauge("daisywind_front_endpoints_full", labels,
                      static_cast<double>(spread.full));
    metrics_.SetGauge("daisywind_front_endpoints_with_free_slots", labels,
                      static_cast<double>(spread.with_free_slots));
    metrics_.SetGauge("daisywind_front_endpoint_load_mean", labels,
                      spread.mean);
    metrics_.SetGauge("daisywind_front_endpoint_load_variation", labels,
                      spread.variation);
  }
}

auto front_node::Tick() -> asio::awaitable<void> {
  while (!is_stopping_) {
    directory_.Tick(Now());
    limits_.Tick(Now());
    quotas_.Tick(Now());
    paths_.Tick(Now());
    waiting_.WakeFirstOfAll();
    UpdateReadiness();
    FlushLogs();
    const auto due = Now() + kTickInterval;
    timer_.expires_after(kTickInterval);
    co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
    if (const auto late = Now() - due; late >= kLateTick && !is_stopping_) {
      Log(log_events::kEventLoopLate,
          {{"late_ms", Milliseconds(late)},
           {"requests",
            static_cast<std::int64_t>(callers_.ActiveRequestCount())}});
    }
  }
}

auto front_node::UpdateReadiness() -> void {
  // Without a quorum of journals no turn can begin, and without a path no
  // request can be served, so callers are better served by another front.
  const auto knows_keys = !directory_.routes().organisations().RequiresKeys() ||
                          AreKeysProven(Now());
  const auto is_ready = directory_.IsConfigured() && turns_.HasQuorum() &&
                        paths_.IsUsable() && knows_keys && !is_stopping_;
  if (is_ready == is_ready_) {
    return;
  }
  is_ready_ = is_ready;
  Log(log_events::kReadinessChanged,
      {{"ready", is_ready},
       {"knows_keys", knows_keys},
       {"version", static_cast<std::int64_t>(directory_.routes().version())},
       {"endpoints", static_cast<std::int64_t>(directory_.endpoints().size())},
       {"view", static_cast<std::int64_t>(turns_.current().number)}});
}

auto front_node::AreKeysProven(instant now) const -> bool {
  if (!key_proof_lifetime_) {
    return true;
  }
  const auto proven_at = directory_.ProvenAt();
  return proven_at && now - *proven_at < *key_proof_lifetime_;
}

auto front_node::KeysOutdatedRetry(instant now) const -> duration {
  // Another front may be in touch with the store, unless the journals are not.
  constexpr auto kShort = duration(300ms);
  constexpr auto kLong = duration(1s);
  return store_.AreJournalsOutdated(now) ? kLong : kShort;
}

auto front_node::Spread(duration time) -> duration {
  const auto extra = static_cast<std::uint64_t>(time.count() / 2);
  return time +
         duration(static_cast<duration::rep>(random_.UniformBelow(extra + 1)));
}

auto front_node::Place(const dispatch::placement_request& request,
                       const std::optional<history::sender_state>& relay)
    -> std::optional<dispatch::placement_choice> {
  if (!relay) {
    return dispatch::Place(directory_.endpoints(), request, location_,
                           placement_, Now(), random_);
  }
  auto from = location_;
  from.failure_domain = relay->location.failure_domain;
  from.region = relay->location.region;
  return dispatch::Place(directory_.endpoints(), request, from, placement_,
                         Now(), random_);
}

auto front_node::Stop(std::function<void()> on_stopped) -> void {
  if (is_stopping_) {
    return;
  }
  is_stopping_ = true;
  UpdateReadiness();
  relay_service_.server().Drain();
  AnnounceRelay();
  callers_.CloseAfterResponses();
  asio::co_spawn(context_, DrainAndStop(std::move(on_stopped)), asio::detached);
}

auto front_node::DrainAndStop(std::function<void()> on_stopped)
    -> asio::awaitable<void> {
  const auto stopping_since = Now();
  while (Now() - stopping_since < stop_schedule_.accepts_until) {
    co_await Pause(kDrainPollInterval);
    FlushLogs();
  }
  callers_.StopAccepting();
  callers_.CloseIdle();
  co_await WaitUntilIdle(stopping_since + stop_schedule_.ends_at);
  for (auto* flow : flows_) {
    flow->EndNow();
  }
  // The rest of the time is for the process to exit.
  co_await WaitUntilIdle(stopping_since +
                         (stop_schedule_.ends_at + grace_) / 2);
  directory_.Stop();
  fallback_.Stop();
  limits_.Stop();
  paths_.Stop();
  on_stopped();
}

auto front_node::WaitUntilIdle(instant until) -> asio::awaitable<void> {
  while (Now() < until && (callers_.ActiveRequestCount() > 0 ||
                           relay_service_.server().ActiveCount() > 0)) {
    co_await Pause(kDrainPollInterval);
    FlushLogs();
  }
}

auto front_node::Pause(duration length) -> asio::awaitable<void> {
  auto timer = asio::steady_timer(context_);
  timer.expires_after(length);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

}  // namespace daisywind::front
