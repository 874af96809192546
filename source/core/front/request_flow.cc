#include "front/request_flow.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <chrono>
#include <utility>

#include "common/log_values.h"
#include "common/logging.h"
#include "common/process_clock.h"
#include "front/attempt_options.h"

namespace daisywind::front {
namespace {

namespace asio = boost::asio;
using dispatch::attempt_result;
using dispatch::health_signal;
using dispatch::route_kind;

// Retry-After when no endpoint can be chosen, and the longest one when all that
// could be are at their rate limits.
constexpr auto kRetryAfterNoEndpoint = duration(200ms);
constexpr auto kMaxRetryAfterQuota = duration(500ms);
// Endpoints that refused have free slots again as their requests end.
constexpr auto kMinRefusedRetry = duration(100ms);
constexpr auto kMaxRefusedRetry = duration(300ms);
// A front without a configuration waits for the platform's store, which may be
// unreachable for seconds.
constexpr auto kUnconfiguredRetry = duration(1s);

auto AttemptResultName(attempt_result end) -> std::string_view {
  return end == attempt_result::kNotRun ? "not_run" : "may_have_run";
}

auto CountRefusal(metrics& registry, refusal_reason reason) -> void {
  registry.Count("daisywind_front_refusals_total",
                 {{"reason", std::string(ReasonName(reason))}});
}

auto LogRefusal(const dispatch::call& call,
                refusal_reason reason,
                const directory& from) -> void {
  const auto now = Now();
  const auto proven_at = from.ProvenAt();
  Log(log_events::kRequestRefused,
      {{"request", std::string_view(call.request_id)},
       {"program", std::string_view(call.program)},
       {"reason", ReasonName(reason)},
       {"version", static_cast<std::int64_t>(from.routes().version())},
       {"store_age_ms", Milliseconds(from.StoreAge(now))},
       {"keys_age_ms", proven_at ? Milliseconds(now - *proven_at) : kNoTime}});
}

// Why a caller's API key does not let it use a route, or nothing. `is_known` is
// whether an organisation owns the key.
auto CheckKey(front_node& node, const dispatch::route& route, bool is_known)
    -> std::optional<refusal_reason> {
  const auto& organisations = node.service_directory().routes().organisations();
  if (!organisations.RequiresKeys() || route.is_public) {
    return std::nullopt;
  }
  if (!node.AreKeysProven(Now())) {
    return refusal_reason::kKeysOutdated;
  }
  return is_known ? std::nullopt : std::optional(refusal_reason::kUnknownKey);
}

auto RetryAfter(front_node& node, refusal_reason reason)
    -> std::optional<duration> {
  switch (reason) {
    case refusal_reason::kNotReady:
      return kUnconfiguredRetry;
    case refusal_reason::kKeysOutdated:
      return node.Spread(node.KeysOutdatedRetry(Now()));
    default:
      return std::nullopt;
  }
}

}  // namespace

auto ServeRequest(front_node& node, net::http_exchange& exchange)
    -> asio::awaitable<void> {
  auto call = node.requests().ReadCall(exchange.request());
  auto& service_directory = node.service_directory();
  auto reason = std::optional<refusal_reason>{};
  auto matched_route = std::shared_ptr<const dispatch::route>{};
  auto caller = std::shared_ptr<const dispatch::organisation>{};
  if (!call) {
    reason = refusal_reason::kBadRequest;
    call.emplace();
  } else if (!service_directory.IsConfigured()) {
    reason = refusal_reason::kNotReady;
  } else {
    matched_route = service_directory.routes().Find(call->host, call->path);
    caller =
        service_directory.routes().organisations().FindByKey(call->api_key);
    reason = matched_route == nullptr
                 ? refusal_reason::kNoRoute
                 : CheckKey(node, *matched_route, caller != nullptr);
  }
  if (reason) {
    LogRefusal(*call, *reason, service_directory);
    CountRefusal(node.metrics_registry(), *reason);
    co_await exchange.Respond(
        node.requests().MakeRefusal({*reason, RetryAfter(node, *reason)}));
    co_return;
  }
  const auto flow = std::make_shared<request_flow>(
      node, exchange, std::move(*call), std::move(matched_route),
      std::move(caller));
  co_await flow->Run();
}

request_flow::request_flow(front_node& node,
                           net::http_exchange& exchange,
                           dispatch::call call,
                           std::shared_ptr<const dispatch::route> matched_route,
                           std::shared_ptr<const dispatch::organisation> caller)
    : node_(node),
      exchange_(exchange),
      call_(std::move(call)),
      route_(std::move(matched_route)),
      organisation_(std::move(caller)),
      version_(node.service_directory().routes().version()),
      started_at_(Now()),
      store_age_(node.service_directory().StoreAge(started_at_)),
      deadline_timer_(node.context()),
      progress_(call_.last_event_id),
      body_memory_(node.request_memory()) {
  const auto& key = call_.session.empty() ? call_.request_id : call_.session;
  service_ = dispatch::PickService(*route_, key);
  if (const auto* profile =
          node.service_directory().routes().FindService(service_)) {
    engine_ = profile->engine;
    tokens_ = engine_ ? dispatch::RequestTokens(call_) : 0;
  }
  deadline_ = started_at_ + std::min(route_->timeout,
                                     call_.deadline.value_or(route_->timeout));
  const auto program = ProgramName().value;
  is_program_start_ = node_.programs().IsStart(
      call_, *route_, program, node_.prompts().Mean(route_->id));
  node_.programs().OnRequest(program, is_program_start_, started_at_);
  node_.AddFlow(*this);
}

auto request_flow::Run() -> asio::awaitable<void> {
  WatchForCancellation();
  if (node_.DoEnginesCrashWhenFull() && engine_ &&
      dispatch::ExceedsMemory(tokens_, engine_->memory_tokens)) {
    co_await RefuseForMemory(std::nullopt);
  } else if (co_await AdmitProgram() && co_await AcquireQuota()) {
    if (engine_ && is_program_start_) {
      node_.admission().OnProgramAdmitted(Owner(), Now());
    }
    if (IsTurn()) {
      co_await RunTurn();
    } else {
      co_await RunPlain();
    }
  }
  StopWaiting();
  if (attempts_.attempts == 0) {
    ReturnCredits();
  }
  deadline_timer_.cancel();
  RecordDuration();
  LogEnd();
}

auto request_flow::WatchForCancellation() -> void {
  const auto weak = weak_from_this();
  deadline_timer_.expires_after(std::max(TimeLeft(), duration(0)));
  deadline_timer_.async_wait([weak](const boost::system::error_code& error) {
    const auto self = weak.lock();
    if (!error && self != nullptr) {
      self->EndNow();
    }
  });
  exchange_.OnClose([weak] {
    const auto self = weak.lock();
    if (self == nullptr) {
      return;
    }
    self->is_caller_disconnected_ = true;
    self->Cancel();
  });
}

auto request_flow::EndNow() -> void {
  is_timed_out_ = true;
  Cancel();
}

auto request_flow::Cancel() -> void {
  if (cancellation_ != nullptr) {
    cancellation_->Cancel();
  }
  if (waiting_position_) {
    node_.waiting().Wake(service_, *waiting_position_);
  }
}

auto request_flow::RunPlain() -> asio::awaitable<void> {
  co_await Dispatch(exchange_.request().body, MakePlacement());
}

auto request_flow::MakePlacement() -> dispatch::placement_request {
  auto placement = dispatch::placement_request{};
  placement.service = service_;
  placement.is_engine = engine_.has_value();
  placement.may_repeat = dispatch::MayRepeat(*route_);
  placement.prompt = call_.prompt;
  placement.prompt_tokens = call_.prompt_tokens;
  if (engine_ && node_.DoEnginesCrashWhenFull()) {
    placement.tokens = tokens_;
    placement.memory_tokens = engine_->memory_tokens;
  }
  // A stored chain names the engines that have it cached.
  if (engine_ && !route_->stores_turns && !call_.prompt.empty()) {
    // Sub-agents share their parent's program, and so the engine that has its
    // prompt.
    placement.home_key = call_.program.empty() ? call_.prompt.back().id.value
                                               : ProgramName().value;
    node_.prompts().Observe(route_->id, call_.prompt.back());
    placement.prompt_growth = node_.prompts().Mean(route_->id);
  }
  return placement;
}

auto request_flow::Dispatch(const std::string& body,
                            dispatch::placement_request placement)
    -> asio::awaitable<void> {
  // The timer of the deadline may run late, after what a paused process had
  // waited for.
  while (!IsOver() && TimeLeft() > duration(0)) {
    if (const auto reason = KeyRefusal()) {
      co_await Refuse(attempts_.runs > 0 ? refusal_reason::kNoAnswer : *reason,
                      RetryAfter(node_, *reason));
      co_return;
    }
    const auto relay = node_.paths().IsClosed()
                           ? node_.paths().PickRelay(unusable_relays_)
                           : std::nullopt;
    const auto is_next = placement.memory_tokens == 0 || IsNextForMemory();
    const auto choice = is_next ? node_.Place(placement, relay) : std::nullopt;
    if (!choice) {
      if (co_await HandleUnplaced(placement, is_next)) {
        continue;
      }
      co_return;
    }
    StopWaiting();
    summary_.choice = choice;
    const auto path = ChoosePath(*choice, relay);
    if (!path) {
      co_await RefuseUnplaced();
      co_return;
    }
    if (!co_await AdmitAttempt(*choice)) {
      co_return;
    }
    const auto end = co_await Attempt(body, *choice, *path);
    if (!end) {
      co_return;
    }
    placement.excluded.insert(choice->endpoint);
    const auto step = dispatch::NextStep(*route_, attempts_, *end, TimeLeft(),
                                         node_.retries());
    if (IsOver()) {
      break;
    }
    if (step == dispatch::next_step::kRefuse) {
      co_await Refuse(refusal_reason::kOverloaded,
                      SpreadRetry(kMinRefusedRetry, kMaxRefusedRetry));
      co_return;
    }
    if (step == dispatch::next_step::kFail) {
      co_await Refuse(refusal_reason::kNoAnswer, std::nullopt);
      co_return;
    }
    if (step == dispatch::next_step::kBreakOff) {
      BreakOff();
      co_return;
    }
  }
  co_await GiveUp();
}

auto request_flow::HandleUnplaced(dispatch::placement_request& placement,
                                  bool is_next) -> asio::awaitable<bool> {
  // Endpoints that were full may have capacity again. A stream is not resumed
  // at the endpoint that broke it off.
  if (is_next && !placement.excluded.empty() && !attempts_.is_answered) {
    placement.excluded.clear();
    co_return true;
  }
  const auto shortage =
      is_next ? dispatch::FindMemoryShortage(
                    node_.service_directory().endpoints(), placement, Now())
              : dispatch::memory_shortage{};
  if (!shortage || attempts_.runs > 0) {
    co_await RefuseUnplaced();
  } else if (co_await WaitForMemory()) {
    co_return true;
  } else if (IsOver()) {
    co_await GiveUp();
  } else {
    co_await RefuseForMemory(shortage);
  }
  co_return false;
}

auto request_flow::ChoosePath(const dispatch::placement_choice& choice,
                              std::optional<history::sender_state> relay)
    -> std::optional<attempt_path> {
  if (relay) {
    return attempt_path{std::move(relay), net::connection_use::kAny};
  }
  const auto* state =
      node_.service_directory().endpoints().Find(choice.endpoint);
  const auto address = net::ParseSocketAddress(state->entry.address)
                           .value_or(net::socket_address{});
  auto path = node_.paths().Choose(address, unusable_relays_);
  if (path && !path->relay && refused_by_.contains(choice.endpoint)) {
    if (path->connection == net::connection_use::kIdle) {
      return std::nullopt;
    }
    path->connection = net::connection_use::kNew;
  }
  return path;
}

auto request_flow::Attempt(const std::string& body,
                           const dispatch::placement_choice& choice,
                           const attempt_path& path)
    -> asio::awaitable<std::optional<attempt_result>> {
  auto metadata = attempt_metadata{
      choice.endpoint, TimeLeft(), Urgency(), {}, {}, CallerIdentity()};
  if (attempts_.is_answered) {
    metadata.resume_after = progress_.last_event_id();
    metadata.weights_version = progress_.weights_version();
    Log(log_events::kStreamResumed,
        {{"request", std::string_view(call_.request_id)},
         {"endpoint", std::string_view(choice.endpoint.value)},
         {"after", std::string_view(metadata.resume_after)},
         {"events", std::int64_t{events_}}});
    node_.metrics_registry().Count("daisywind_front_streams_resumed_total", {});
  }
  auto request =
      node_.requests().MakeEndpointRequest(exchange_.request(), metadata);
  request.body = body;
  auto options = net::http_options{};
  options.connect_timeout = std::min(kConnectTimeout, TimeLeft());
  // The deadline timer cancels the attempt at the request's deadline. The
  // client's time-outs are set past it, except for an earlier first-byte
  // time-out.
  const auto first_byte_timeout = dispatch::FirstByteTimeout(
      *route_, attempts_, TimeLeft(), node_.retries());
  options.head_timeout =
      first_byte_timeout < TimeLeft() ? first_byte_timeout : TimeLeft() + 1s;
  options.idle_timeout = TimeLeft() + 1s;
  options.resend_on_stale = false;
  options.max_body_bytes = kMaxResponseBytes;
  options.expects_events = route_->kind == route_kind::kStream;
  options.matches_request = MatchesRequest(node_.requests(), call_.request_id);
  cancellation_ = std::make_shared<net::http_cancellation>();
  options.cancellation = cancellation_;
  ++attempts_.attempts;
  const auto sent_at = Now();
  // The endpoint may be gone from the table before it responds.
  const auto entry =
      node_.service_directory().endpoints().Find(choice.endpoint)->entry;
  summary_.relay = path.relay ? path.relay->location.vm : vm_id();
  auto opened =
      path.relay
          ? co_await SendThroughRelay(choice, *path.relay, std::move(request),
                                      std::move(options))
          : co_await SendDirectly(choice, path, std::move(request),
                                  std::move(options));
  summary_.is_reused = opened.is_reused;
  auto end = std::optional<attempt_result>{};
  if (opened.outcome == net::http_outcome::kAnswered) {
    end = co_await HandleResponse(opened, entry);
  } else {
    end = opened.outcome == net::http_outcome::kNotSent
              ? attempt_result::kNotRun
              : attempt_result::kMayHaveRun;
    // A disconnected caller is no evidence against the endpoint, and a relay
    // records the failures that it sees.
    if (!is_caller_disconnected_ && !path.relay) {
      const auto is_unresponsive =
          is_timed_out_ || Now() - sent_at >= first_byte_timeout;
      RecordFailure(choice.endpoint, is_unresponsive
                                         ? health_signal::kNoResponse
                                         : health_signal::kFailed);
    }
  }
  cancellation_ = nullptr;
  if (!path.relay) {
    node_.service_directory().endpoints().OnRequestEnded(
        choice.endpoint, tokens_,
        end ? std::nullopt : std::optional(Now() - sent_at));
    node_.waiting().WakeFirst(service_);
    node_.paths().OnRequestEnded(choice.endpoint);
  }
  if (end == attempt_result::kMayHaveRun) {
    ++attempts_.runs;
  }
  if (end) {
    Log(log_events::kAttemptEnded,
        {{"request", std::string_view(call_.request_id)},
         {"endpoint", std::string_view(choice.endpoint.value)},
         {"relay", std::string_view(summary_.relay.value)},
         {"attempt", std::int64_t{attempts_.attempts}},
         {"end", AttemptResultName(*end)},
         {"status", std::int64_t{opened.head.status}},
         {"error", std::string_view(opened.error)},
         {"reused", opened.is_reused},
         {"caller_gone", is_caller_disconnected_},
         {"timed_out", is_timed_out_},
         {"took_ms", Milliseconds(Now() - sent_at)}});
  }
  co_return end;
}

auto request_flow::SendDirectly(const dispatch::placement_choice& choice,
                                const attempt_path& path,
                                net::http_request request,
                                net::http_options options)
    -> asio::awaitable<net::http_stream_result> {
  auto& endpoints = node_.service_directory().endpoints();
  const auto* state = endpoints.Find(choice.endpoint);
  auto address = net::ParseSocketAddress(state->entry.address)
                     .value_or(net::socket_address{});
  options.connection = path.connection;
  node_.paths().Observe(choice.endpoint, options);
  endpoints.OnRequestSent(choice.endpoint, Now(), tokens_);
  node_.paths().OnRequestSent(choice.endpoint);
  co_return co_await node_.endpoint_client().Open(
      std::move(address), std::move(request), std::move(options));
}

auto request_flow::SendThroughRelay(const dispatch::placement_choice& choice,
                                    const history::sender_state& relay,
                                    net::http_request request,
                                    net::http_options options)
    -> asio::awaitable<net::http_stream_result> {
  auto message = relay::attempt_request{
      choice.endpoint,        call_.request_id,
      std::move(request),     options.head_timeout,
      options.expects_events, refused_by_.contains(choice.endpoint)};
  auto result = co_await node_.relays().Open(
      relay.relay_address, std::move(message), std::move(options));
  if (result.is_relay_unusable) {
    unusable_relays_.insert(relay.location.vm);
    node_.paths().OnRelayFailed(relay.location.vm);
  }
  co_return std::move(result.response);
}

auto request_flow::RefuseUnplaced() -> asio::awaitable<void> {
  if (attempts_.runs > 0) {
    co_await Refuse(refusal_reason::kNoAnswer, std::nullopt);
    co_return;
  }
  const auto next_quota =
      node_.service_directory().endpoints().NextQuota(service_, Now());
  if (!next_quota) {
    co_await Refuse(refusal_reason::kNoEndpoint, kRetryAfterNoEndpoint);
    co_return;
  }
  // Another VM may have a part of the limits that is free earlier.
  co_await Refuse(refusal_reason::kOverloaded,
                  std::min(*next_quota, kMaxRetryAfterQuota));
}

auto request_flow::GiveUp() -> asio::awaitable<void> {
  if (is_caller_disconnected_) {
    summary_.outcome = "caller_gone";
    exchange_.Abort();
    co_return;
  }
  // A cancelled attempt may still have run.
  co_await Refuse(attempts_.runs > 0 ? refusal_reason::kTimeout
                                     : refusal_reason::kOverloaded,
                  std::nullopt);
}

auto request_flow::RecordFailure(const endpoint_id& endpoint,
                                 health_signal signal) -> void {
  // Without an open path of this VM, its failures say nothing about endpoints.
  if (!node_.paths().IsOpen()) {
    return;
  }
  const auto now = Now();
  auto& endpoints = node_.service_directory().endpoints();
  endpoints.OnHealthSignal(endpoint, signal, now);
  node_.turns().ReportFailure(endpoint);
  const auto* state = endpoints.Find(endpoint);
  if (state == nullptr) {
    return;
  }
  Log(log_events::kEndpointFailureRecorded,
      {{"endpoint", std::string_view(endpoint.value)},
       {"request", std::string_view(call_.request_id)},
       {"silent", signal == health_signal::kNoResponse},
       {"failures_in_a_row", std::int64_t{state->consecutive_failures}},
       {"score", endpoints.FailureScore(*state, now)},
       {"paused_ms",
        Milliseconds(std::max(state->paused_until - now, duration(0)))}});
}

auto request_flow::Refuse(refusal_reason reason,
                          std::optional<duration> retry_after)
    -> asio::awaitable<void> {
  if (attempts_.is_answered) {
    BreakOff();
    co_return;
  }
  auto response = node_.requests().MakeRefusal({reason, retry_after});
  summary_.status = response.status;
  summary_.outcome = ReasonName(reason);
  CountRefusal(node_.metrics_registry(), reason);
  co_await exchange_.Respond(std::move(response));
}

auto request_flow::TimeLeft() const -> duration {
  return std::max(deadline_ - Now(), duration(0));
}

auto request_flow::IsOver() const -> bool {
  return is_caller_disconnected_ || is_timed_out_;
}

auto request_flow::Urgency() const -> std::uint32_t {
  return organisation_ != nullptr
             ? organisation_->priority.value_or(route_->priority)
             : route_->priority;
}

auto request_flow::KeyRefusal() const -> std::optional<refusal_reason> {
  // The owner of a key changes only with the configuration.
  const auto& routes = node_.service_directory().routes();
  const auto is_known =
      routes.version() == version_
          ? organisation_ != nullptr
          : routes.organisations().FindByKey(call_.api_key) != nullptr;
  return CheckKey(node_, *route_, is_known);
}

auto request_flow::Owner() const -> organisation_id {
  return organisation_ != nullptr ? organisation_->id : organisation_id{};
}

auto request_flow::CallerIdentity() const -> std::optional<organisation_id> {
  if (!node_.service_directory().routes().organisations().RequiresKeys()) {
    return std::nullopt;
  }
  return Owner();
}

auto request_flow::LogEnd() -> void {
  const auto took = Now() - started_at_;
  const auto owner = Owner();
  node_.metrics_registry().Observe("daisywind_front_request_seconds", owner,
                                   class_id(route_->id.value), took);
  const auto choice = summary_.choice.value_or(dispatch::placement_choice{});
  Log(log_events::kRequestEnded,
      {{"request", std::string_view(call_.request_id)},
       {"program", std::string_view(call_.program)},
       {"route", std::string_view(route_->id.value)},
       {"organisation", std::string_view(owner.value)},
       {"version", static_cast<std::int64_t>(version_)},
       {"store_age_ms", Milliseconds(store_age_)},
       {"status", std::int64_t{summary_.status}},
       {"outcome", summary_.outcome},
       {"attempts", std::int64_t{attempts_.attempts}},
       {"may_have_run", std::int64_t{attempts_.runs}},
       {"endpoint", std::string_view(choice.endpoint.value)},
       {"relay", std::string_view(summary_.relay.value)},
       {"load", choice.load},
       {"load_age_ms",
        choice.report_age ? Milliseconds(*choice.report_age) : -1.0},
       {"missing_tokens", static_cast<std::int64_t>(choice.missing_tokens)},
       {"pace", choice.pace},
       {"home", choice.is_home},
       {"rate_limit", choice.rate_limit.value_or(kNoLimit)},
       {"reused", summary_.is_reused},
       {"first_byte_ms",
        summary_.first_byte ? Milliseconds(*summary_.first_byte) : -1.0},
       {"framing", summary_.framing ? net::FramingName(*summary_.framing) : ""},
       {"events", std::int64_t{events_}},
       {"partial_event_bytes",
        static_cast<std::int64_t>(summary_.partial_event_bytes)},
       {"took_ms", Milliseconds(took)}});
}

}  // namespace daisywind::front
