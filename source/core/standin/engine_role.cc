#include "standin/engine_role.h"

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <charconv>
#include <optional>
#include <utility>

#include "common/logging.h"
#include "net/sse.h"
#include "standin/answer.h"
#include "standin/chat_json.h"
#include "standin/clock.h"

namespace daisywind::standin {
namespace {

namespace asio = boost::asio;

constexpr auto kWithError = asio::as_tuple(asio::use_awaitable);

// Minimum time between two steps of the batch. Tokens generated in between are
// sent in one write.
constexpr auto kMinBatchStep = duration(2000);

// Timeout of a pull, whose duration depends on the rate of the weight store.
constexpr auto kPullTimeout = 120s;
constexpr auto kPullRetryDelay = 500ms;

constexpr std::string_view kSessionsPath = "/v1/cache/sessions/";
constexpr std::string_view kStreamsPath = "/v1/streams/";

// The path of the request without the prefix, which the caller has checked.
auto PathAfter(const net::http_request& request, std::string_view prefix)
    -> std::string {
  return std::string(request.Path().substr(prefix.size()));
}

auto QueryNumber(const net::http_request& request, std::string_view name)
    -> std::int64_t {
  const auto text = request.Query(name).value_or("0");
  auto number = std::int64_t{0};
  std::from_chars(text.data(), text.data() + text.size(), number);
  return std::max<std::int64_t>(number, 0);
}

auto ToVersions(const json::object& object, std::string_view key)
    -> version_map {
  auto versions = version_map{};
  const auto* items = ObjectOrNull(object, key);
  if (items == nullptr) {
    return versions;
  }
  for (const auto& item : *items) {
    const auto name = std::string(item.key());
    versions[name] = StringOr(*items, name, "");
  }
  return versions;
}

auto ToJson(const version_map& versions) -> json::object {
  auto out = json::object{};
  for (const auto& [name, version] : versions) {
    out[name] = version;
  }
  return out;
}

auto EventTypeName(cache_event_type type) -> std::string_view {
  static constexpr auto kNames =
      std::to_array<std::string_view>({"stored", "removed", "cleared"});
  return kNames.at(static_cast<std::size_t>(type));
}

}  // namespace

auto ParseOrder(const json::object& body) -> engine_order {
  auto order = engine_order{};
  order.fence = IntegerOr(body, "fence", 0);
  order.version = IntegerOr(body, "version", 0);
  if (const auto* wanted = ObjectOrNull(body, "wanted")) {
    order.models = ToVersions(*wanted, "models");
    order.adapters = ToVersions(*wanted, "adapters");
    order.role = StringOr(*wanted, "role", "serving");
  }
  return order;
}

engine_role::engine_role(asio::io_context& context,
                         const stand_in_options& options)
    : context_(context),
      options_(options),
      client_(context),
      cache_(options.cache_tokens / kBlockTokens, options.checks_fencing),
      batch_({options.capacity, options.prefill_per_token,
              options.decode_per_token, options.grace},
             cache_),
      batch_timer_(context),
      models_(options.models),
      adapters_(options.adapters) {
  wanted_.models = models_;
  wanted_.adapters = adapters_;
  asio::co_spawn(context_, RunBatch(), asio::detached);
}

auto engine_role::Routes() -> std::span<const route> {
  using self = engine_role;
  static constexpr auto kRoutes = std::to_array<route>({
      {"POST", "/v1/chat/completions", false, &self::Chat},
      {"GET", kStreamsPath, true, &self::Resume},
      {"DELETE", kStreamsPath, true, &self::CancelRun},
      {"GET", "/metrics", false, &self::Metrics},
      {"GET", "/v1/cache_events", false, &self::CacheEvents},
      {"POST", kSessionsPath, true, &self::Pin},
      {"DELETE", kSessionsPath, true, &self::Release},
      {"GET", "/v1/cache/sessions", false, &self::Sessions},
      {"POST", "/v1/cache/export", false, &self::Export},
      {"POST", "/v1/cache/import", false, &self::Import},
      {"GET", "/v1/state", false, &self::State},
      {"POST", "/v1/orders", false, &self::Order},
      {"GET", "/standin/tokens", false, &self::Tokens},
  });
  return kRoutes;
}

auto engine_role::Handle(net::http_exchange& exchange)
    -> asio::awaitable<void> {
  const auto& request = exchange.request();
  const auto path = request.Path();
  for (const auto& item : Routes()) {
    const auto is_path =
        item.is_prefix ? path.starts_with(item.path) : path == item.path;
    if (is_path && item.method == request.method) {
      co_await (this->*item.run)(exchange);
      co_return;
    }
  }
  auto refusal = Problem(404, "no such call");
  co_await exchange.Respond(std::move(refusal));
}

auto engine_role::CheckChat(const json::object& body) const
    -> net::http_response {
  if (wanted_.role != "serving") {
    auto refusal = Problem(503, "the engine is leaving");
    refusal.headers.push_back({"X-Refused", "leaving"});
    return refusal;
  }
  const auto model = StringOr(body, "model", "");
  if (!models_.contains(model) && !adapters_.contains(model)) {
    return Problem(404, "model not loaded");
  }
  if (ArrayOrNull(body, "messages") == nullptr) {
    return Problem(400, "messages are missing");
  }
  return {};
}

auto engine_role::Chat(net::http_exchange& exchange) -> asio::awaitable<void> {
  const auto body = ParseObject(exchange.request().body);
  auto checked = body ? CheckChat(*body) : Problem(400, "invalid body");
  if (checked.status != 200) {
    co_await exchange.Respond(std::move(checked));
    co_return;
  }
  const auto id = SubmitChat(exchange.request(), *body);
  if (!BoolOr(*body, "stream", false)) {
    co_await SendCompletion(exchange, id);
    co_return;
  }
  const auto* stream_options = ObjectOrNull(*body, "stream_options");
  const auto includes_usage = stream_options != nullptr &&
                              BoolOr(*stream_options, "include_usage", false);
  co_await StreamCompletion(exchange, id, 0, includes_usage);
}

auto engine_role::SubmitChat(const net::http_request& request,
                             const json::object& body) -> std::string {
  auto item = engine_request{};
  item.id = std::string(request.Header("X-Request-Id"));
  if (item.id.empty()) {
    item.id = "unnamed-" + std::to_string(++unnamed_requests_);
  }
  const auto& messages = *ArrayOrNull(body, "messages");
  const auto max_tokens = IntegerOr(body, "max_tokens", kDefaultMaxTokens);
  item.model = StringOr(body, "model", "");
  item.prompt = PromptText(messages);
  item.answer = AnswerTokens(item.model, messages, max_tokens);
  item.is_truncated =
      static_cast<std::int64_t>(item.answer.size()) == max_tokens;
  item.priority = IntegerOr(body, "priority", 0);
  auto id = item.id;
  batch_.Submit(std::move(item), Now());
  WakeBatch();
  return id;
}

auto engine_role::SendCompletion(net::http_exchange& exchange,
                                 const std::string& id)
    -> asio::awaitable<void> {
  using asio::experimental::awaitable_operators::operator||;
  batch_.Attach(id);
  co_await (WaitForEnd(id) || exchange.WaitForClose());
  const auto* run = batch_.Find(id);
  const auto is_finished = run != nullptr && run->state == run_state::kFinished;
  auto response = is_finished ? Ok(CompletionBody(*run))
                              : Problem(499, "request cancelled");
  co_await exchange.Respond(std::move(response));
  batch_.Detach(id, Now());
  WakeBatch();
}

auto engine_role::StreamCompletion(net::http_exchange& exchange,
                                   const std::string& id,
                                   std::size_t offset,
                                   bool includes_usage)
    -> asio::awaitable<void> {
  batch_.Attach(id);
  auto head = net::http_response{};
  head.headers.push_back({"Content-Type", "text/event-stream"});
  head.headers.push_back({"X-Request-Id", id});
  auto is_open = co_await exchange.StartStream(std::move(head));
  auto next = offset;
  auto is_ended = false;
  while (is_open && !is_ended) {
    const auto* run = batch_.Find(id);
    if (run == nullptr || run->state == run_state::kCancelled) {
      exchange.Abort();
      break;
    }
    is_ended = run->state == run_state::kFinished;
    const auto events = StreamEvents(*run, next, includes_usage);
    if (events.empty() && !is_ended) {
      co_await WaitForRun(id);
      continue;
    }
    next += events.size();
    auto bytes = std::string{};
    for (const auto& event : events) {
      bytes += net::FormatSseEvent(event);
    }
    // The run may change during the write, so the loop checks it again before
    // it waits.
    is_open = bytes.empty() || co_await exchange.WriteChunk(bytes);
  }
  if (is_open && is_ended) {
    co_await exchange.EndStream();
  }
  batch_.Detach(id, Now());
  WakeBatch();
}

auto engine_role::Resume(net::http_exchange& exchange)
    -> asio::awaitable<void> {
  const auto id = PathAfter(exchange.request(), kStreamsPath);
  const auto* run = batch_.Find(id);
  if (run == nullptr || run->state == run_state::kCancelled) {
    auto refusal = Problem(404, "unknown request");
    co_await exchange.Respond(std::move(refusal));
    co_return;
  }
  const auto offset =
      static_cast<std::size_t>(QueryNumber(exchange.request(), "offset"));
  co_await StreamCompletion(exchange, id, offset, true);
}

auto engine_role::CancelRun(net::http_exchange& exchange)
    -> asio::awaitable<void> {
  const auto id = PathAfter(exchange.request(), kStreamsPath);
  const auto is_cancelled = batch_.Cancel(id);
  Notify(id);
  WakeBatch();
  const auto body = ObjectOf("cancelled", is_cancelled);
  co_await exchange.Respond(Ok(body));
}

auto engine_role::WaitForRun(const std::string& id) -> asio::awaitable<void> {
  auto& slot = waiters_[id];
  if (slot == nullptr) {
    slot = std::make_shared<asio::steady_timer>(
        context_, asio::steady_timer::time_point::max());
  }
  const auto timer = slot;
  co_await timer->async_wait(kWithError);
}

auto engine_role::WaitForEnd(const std::string& id) -> asio::awaitable<void> {
  const auto is_active = [&] {
    const auto* run = batch_.Find(id);
    return run != nullptr && run->IsActive();
  };
  while (is_active()) {
    co_await WaitForRun(id);
  }
}

auto engine_role::Notify(const std::string& id) -> void {
  const auto found = waiters_.find(id);
  if (found != waiters_.end()) {
    found->second->cancel();
    waiters_.erase(found);
  }
}

auto engine_role::WakeBatch() -> void {
  batch_timer_.cancel();
}

auto engine_role::RunBatch() -> asio::awaitable<void> {
  while (true) {
    for (const auto& id : batch_.Tick(Now())) {
      Notify(id);
    }
    const auto next = batch_.NextStepAt();
    if (next) {
      const auto wait = std::max(*next - Now(), kMinBatchStep);
      batch_timer_.expires_after(wait);
    } else {
      batch_timer_.expires_at(asio::steady_timer::time_point::max());
    }
    co_await batch_timer_.async_wait(kWithError);
  }
}

auto engine_role::Metrics(net::http_exchange& exchange)
    -> asio::awaitable<void> {
  const auto now = Now();
  auto text = std::string{};
  const auto add = [&](std::string_view name, const std::string& value) {
    text += "vllm:" + std::string(name) + " " + value + "\n";
  };
  add("num_requests_running", std::to_string(sample_.running));
  add("num_requests_waiting", std::to_string(sample_.waiting));
  add("gpu_cache_usage_perc", std::to_string(sample_.cache_usage));
  // The sample is replaced only after it was reported, so that the reported
  // load lags behind the actual one.
  if (now - sample_.taken_at >= options_.metrics_lag) {
    sample_ = {batch_.RunningCount(), batch_.WaitingCount(), cache_.Usage(),
               now};
  }
  co_await exchange.Respond(
      net::TextResponse(std::move(text), "text/plain; version=0.0.4"));
}

auto engine_role::CacheEvents(net::http_exchange& exchange)
    -> asio::awaitable<void> {
  const auto since = QueryNumber(exchange.request(), "since");
  const auto visible_until = Now() - options_.events_lag;
  auto next = since;
  auto items = json::array{};
  for (const auto& event : cache_.events()) {
    if (event.sequence < since) {
      continue;
    }
    if (event.at > visible_until) {
      break;
    }
    next = event.sequence + 1;
    const auto every = static_cast<std::int64_t>(options_.event_gap_every);
    if (every != 0 && event.sequence % every == 0) {
      continue;
    }
    items.emplace_back(ObjectOf("seq", event.sequence, "type",
                                EventTypeName(event.type), "blocks",
                                ToArray(event.blocks)));
  }
  const auto body = ObjectOf("next", next, "events", std::move(items));
  co_await exchange.Respond(Ok(body));
}

auto engine_role::Pin(net::http_exchange& exchange) -> asio::awaitable<void> {
  const auto program = PathAfter(exchange.request(), kSessionsPath);
  const auto body = ParseObject(exchange.request().body);
  if (!body) {
    auto refusal = Problem(400, "invalid body");
    co_await exchange.Respond(std::move(refusal));
    co_return;
  }
  const auto outcome = cache_.Pin(program, StringsOf(*body, "blocks"),
                                  IntegerOr(*body, "fence", 0));
  auto response =
      outcome == pin_outcome::kPinned ? Ok({}) : Problem(409, "stale_fence");
  co_await exchange.Respond(std::move(response));
}

auto engine_role::Release(net::http_exchange& exchange)
    -> asio::awaitable<void> {
  const auto was_held =
      cache_.Release(PathAfter(exchange.request(), kSessionsPath));
  const auto body = ObjectOf("released", was_held);
  co_await exchange.Respond(Ok(body));
}

auto engine_role::Sessions(net::http_exchange& exchange)
    -> asio::awaitable<void> {
  auto sessions = json::object{};
  for (const auto& [program, blocks] : cache_.Sessions()) {
    sessions[program] = blocks * kBlockTokens;
  }
  const auto body = ObjectOf("sessions", std::move(sessions));
  co_await exchange.Respond(Ok(body));
}

auto engine_role::Export(net::http_exchange& exchange)
    -> asio::awaitable<void> {
  const auto body = ParseObject(exchange.request().body);
  auto present = block_hashes{};
  if (body) {
    for (auto& block : StringsOf(*body, "blocks")) {
      if (cache_.Contains(block)) {
        present.push_back(std::move(block));
      }
    }
  }
  const auto answer = ObjectOf("blocks", ToArray(present));
  co_await exchange.Respond(Ok(answer));
}

auto engine_role::Import(net::http_exchange& exchange)
    -> asio::awaitable<void> {
  const auto body = ParseObject(exchange.request().body);
  const auto from = body ? net::ParseSocketAddress(StringOr(*body, "from", ""))
                         : std::nullopt;
  if (!from) {
    auto refusal = Problem(400, "no source to import from");
    co_await exchange.Respond(std::move(refusal));
    co_return;
  }
  const auto wanted = ObjectOf("blocks", ToArray(StringsOf(*body, "blocks")));
  auto request = net::http_request{
      "POST", "/v1/cache/export", {}, json::serialize(wanted)};
  auto result = co_await client_.Send(*from, std::move(request), {});
  const auto exported = ParseObject(result.response.body);
  if (result.outcome != net::http_outcome::kAnswered || !exported) {
    auto refusal = Problem(502, "the source does not answer");
    co_await exchange.Respond(std::move(refusal));
    co_return;
  }
  const auto blocks = StringsOf(*exported, "blocks");
  cache_.Insert(blocks, Now());
  const auto answer = ObjectOf("imported", blocks.size());
  co_await exchange.Respond(Ok(answer));
}

auto engine_role::State(net::http_exchange& exchange) -> asio::awaitable<void> {
  auto loading = std::vector<std::string>{};
  for (const auto& item : loading_) {
    loading.push_back(item.name);
  }
  const auto body =
      ObjectOf("models", ToJson(models_), "adapters", ToJson(adapters_), "role",
               wanted_.role, "version", wanted_.version, "fence", wanted_.fence,
               "loading", ToArray(loading), "running",
               batch_.RunningCount() + batch_.WaitingCount(), "sessions",
               cache_.SessionCount());
  co_await exchange.Respond(Ok(body));
}

auto engine_role::Order(net::http_exchange& exchange) -> asio::awaitable<void> {
  const auto body = ParseObject(exchange.request().body);
  if (!body || ObjectOrNull(*body, "wanted") == nullptr) {
    auto refusal = Problem(400, "no wanted state");
    co_await exchange.Respond(std::move(refusal));
    co_return;
  }
  auto order = ParseOrder(*body);
  if (options_.checks_fencing && order.fence < wanted_.fence) {
    Log(log_events::kStaleOrderRefused,
        {{"fence", order.fence}, {"newest", wanted_.fence}});
    auto refusal = Problem(409, "stale_fence");
    co_await exchange.Respond(std::move(refusal));
    co_return;
  }
  Apply(std::move(order));
  auto accepted = net::JsonResponse(202, "{}");
  co_await exchange.Respond(std::move(accepted));
}

auto engine_role::Tokens(net::http_exchange& exchange)
    -> asio::awaitable<void> {
  const auto& totals = batch_.totals();
  const auto body = ObjectOf("prompt", totals.prompt, "cached", totals.cached);
  co_await exchange.Respond(Ok(body));
}

auto engine_role::Apply(engine_order order) -> void {
  wanted_ = std::move(order);
  UnloadUnwanted();
  StartLoads();
}

auto engine_role::UnloadUnwanted() -> void {
  const auto is_unwanted = [](const version_map& wanted) {
    return [&wanted](const auto& item) {
      const auto found = wanted.find(item.first);
      return found == wanted.end() || found->second != item.second;
    };
  };
  std::erase_if(models_, is_unwanted(wanted_.models));
  std::erase_if(adapters_, is_unwanted(wanted_.adapters));
  if (models_.empty()) {
    cache_.Clear(Now());
  }
}

auto engine_role::StartLoads() -> void {
  auto missing = std::vector<weights_id>{};
  for (const auto& [name, version] : wanted_.models) {
    missing.push_back({name, version, false});
  }
  for (const auto& [name, version] : wanted_.adapters) {
    missing.push_back({name, version, true});
  }
  for (auto& item : missing) {
    if (!IsLoaded(item) && loading_.insert(item).second) {
      asio::co_spawn(context_, Load(std::move(item)), asio::detached);
    }
  }
}

auto engine_role::Load(weights_id item) -> asio::awaitable<void> {
  while (IsWanted(item) && !co_await Pull(item)) {
    co_await Sleep(kPullRetryDelay);
  }
  loading_.erase(item);
  if (IsWanted(item)) {
    auto& loaded = item.is_adapter ? adapters_ : models_;
    loaded[item.name] = item.version;
    Log(log_events::kModelLoaded,
        {{"name", std::string_view(item.name)},
         {"version", std::string_view(item.version)}});
  }
}

auto engine_role::Pull(const weights_id& item) -> asio::awaitable<bool> {
  if (!options_.weights) {
    co_return true;
  }
  const auto body = ObjectOf("name", item.name, "version", item.version);
  auto request =
      net::http_request{"POST", "/v1/pull", {}, json::serialize(body)};
  auto send_options = net::http_options{};
  send_options.head_timeout = kPullTimeout;
  const auto result = co_await client_.Send(*options_.weights,
                                            std::move(request), send_options);
  co_return result.outcome ==
      net::http_outcome::kAnswered&& result.response.status == 200;
}

auto engine_role::Sleep(duration time) -> asio::awaitable<void> {
  auto timer = asio::steady_timer(context_, time);
  co_await timer.async_wait(kWithError);
}

auto engine_role::IsWanted(const weights_id& item) const -> bool {
  const auto& wanted = item.is_adapter ? wanted_.adapters : wanted_.models;
  const auto found = wanted.find(item.name);
  return found != wanted.end() && found->second == item.version;
}

auto engine_role::IsLoaded(const weights_id& item) const -> bool {
  const auto& loaded = item.is_adapter ? adapters_ : models_;
  const auto found = loaded.find(item.name);
  return found != loaded.end() && found->second == item.version;
}

}  // namespace daisywind::standin
