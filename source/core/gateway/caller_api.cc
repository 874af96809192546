#include "gateway/caller_api.h"

#include <algorithm>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "gateway/call_session.h"
#include "gateway/reply_writer.h"

namespace daisywind::gateway {
namespace {

namespace asio = boost::asio;

constexpr auto kUnauthorized = 401U;
constexpr auto kNotFound = 404U;
constexpr auto kUnavailable = 503U;
constexpr duration kNotReadyRetry = 1s;

auto HealthResponse(bool is_healthy) -> net::http_response {
  return is_healthy ? net::http_response{200, {}, "ok\n"}
                    : net::http_response{kUnavailable, {}, "not ready\n"};
}

auto CountCall(metrics& registry,
               const organisation_id& organisation,
               std::string_view outcome) -> void {
  registry.Count("daisywind_calls_total", {{"organisation", organisation.value},
                                           {"outcome", std::string(outcome)}});
}

auto CountRefusal(metrics& registry, const problem& refusal) -> void {
  registry.Count("daisywind_refusals_total", {{"reason", refusal.reason}});
}

}  // namespace

caller_api::caller_api(caller_api_hooks hooks,
                       reply_table& replies,
                       organisation_keys& keys,
                       metrics& metrics_registry)
    : hooks_(std::move(hooks)),
      replies_(replies),
      keys_(keys),
      metrics_registry_(metrics_registry) {}

auto caller_api::Routes() -> const std::vector<route>& {
  static const auto routes = std::vector<route>{
      {"POST", "/v1/programs", false, &caller_api::Open},
      {"GET", "/v1/programs/self", false, &caller_api::QueryProgram},
      {"DELETE", "/v1/programs/self", false, &caller_api::End},
      {"POST", "/v1/programs/self/branches", false, &caller_api::StartBranch},
      {"POST", "/v1/programs/self/joins", false, &caller_api::JoinBranch},
      {"POST", "/v1/chat/completions", false, &caller_api::Chat},
      {"POST", "/v1/services/", true, &caller_api::CallService},
  };
  return routes;
}

auto caller_api::FindRoute(const net::http_request& request) -> const route* {
  const auto path = request.Path();
  const auto& routes = Routes();
  const auto found =
      std::find_if(routes.begin(), routes.end(), [&](const route& item) {
        const auto is_path =
            item.is_prefix ? path.starts_with(item.path) : path == item.path;
        return is_path && request.method == item.method;
      });
  return found == routes.end() ? nullptr : &*found;
}

auto caller_api::Handle(net::http_exchange& exchange) -> asio::awaitable<void> {
  const auto path = exchange.request().Path();
  if (path == "/livez" || path == "/readyz") {
    auto health = HealthResponse(path == "/livez" || hooks_.is_ready());
    co_await exchange.Respond(std::move(health));
    co_return;
  }
  const auto document = hooks_.document();
  if (document == nullptr) {
    const auto refusal = problem{kUnavailable, "not_ready",
                                 "no configuration version is installed yet",
                                 program::outcome::kNotRun, kNotReadyRetry};
    co_await Refuse(exchange, refusal);
    co_return;
  }
  const auto organisation =
      keys_.Find(BearerKey(exchange.request().Header("Authorization")));
  if (!organisation) {
    const auto refusal = problem{kUnauthorized, "unauthorized",
                                 "the organisation key is missing or unknown",
                                 program::outcome::kNotRun, std::nullopt};
    co_await Refuse(exchange, refusal);
    co_return;
  }
  const auto* found = FindRoute(exchange.request());
  if (found == nullptr) {
    const auto refusal =
        problem{kNotFound, "not_found", "no resource with this method and path",
                program::outcome::kNotRun, std::nullopt};
    co_await Refuse(exchange, refusal);
    co_return;
  }
  const auto caller = caller_context{*organisation, document.get()};
  co_await (this->*found->handle)(exchange, caller);
}

auto caller_api::Open(exchange_ref exchange, const caller_context& caller)
    -> asio::awaitable<void> {
  auto read = ReadOpen(exchange.request(), caller);
  if (const auto* refusal = std::get_if<problem>(&read)) {
    co_await Refuse(exchange, *refusal);
    co_return;
  }
  auto open = std::get<program::open_program>(std::move(read));
  auto session = call_session(exchange, replies_, hooks_.submit);
  open.request = session.request();
  hooks_.submit(std::move(open));
  constexpr auto kCreated = 201U;
  co_await session.ServeControl(kCreated);
}

auto caller_api::Chat(exchange_ref exchange, const caller_context& caller)
    -> asio::awaitable<void> {
  auto read = ReadChatCall(exchange.request(), caller);
  if (const auto* refusal = std::get_if<problem>(&read)) {
    co_await Refuse(exchange, *refusal);
    co_return;
  }
  auto arrived = std::get<program::call_arrived>(std::move(read));
  co_await RunCall(exchange, std::move(arrived));
}

auto caller_api::CallService(exchange_ref exchange,
                             const caller_context& caller)
    -> asio::awaitable<void> {
  auto read = ReadServiceCall(exchange.request(), caller);
  if (const auto* refusal = std::get_if<problem>(&read)) {
    co_await Refuse(exchange, *refusal);
    co_return;
  }
  auto arrived = std::get<program::call_arrived>(std::move(read));
  co_await RunCall(exchange, std::move(arrived));
}

auto caller_api::QueryProgram(exchange_ref exchange,
                              const caller_context& caller)
    -> asio::awaitable<void> {
  co_await RunControl(exchange, caller, program::control_action::kQuery, 200);
}

auto caller_api::End(exchange_ref exchange, const caller_context& caller)
    -> asio::awaitable<void> {
  co_await RunControl(exchange, caller, program::control_action::kEnd, 200);
}

auto caller_api::StartBranch(exchange_ref exchange,
                             const caller_context& caller)
    -> asio::awaitable<void> {
  co_await RunControl(exchange, caller, program::control_action::kStart, 201);
}

auto caller_api::JoinBranch(exchange_ref exchange, const caller_context& caller)
    -> asio::awaitable<void> {
  co_await RunControl(exchange, caller, program::control_action::kJoin, 200);
}

auto caller_api::RunCall(exchange_ref exchange, program::call_arrived arrived)
    -> asio::awaitable<void> {
  const auto organisation = arrived.organisation;
  auto session = call_session(exchange, replies_, hooks_.submit);
  arrived.request = session.request();
  const auto call =
      call_summary{arrived.call.kind, arrived.call.is_stream,
                   arrived.call.adapter.empty() ? arrived.call.target
                                                : arrived.call.adapter.value};
  hooks_.submit(std::move(arrived));
  const auto outcome = co_await session.ServeCall(call);
  CountCall(metrics_registry_, organisation, outcome);
}

auto caller_api::RunControl(exchange_ref exchange,
                            const caller_context& caller,
                            program::control_action action,
                            unsigned success_status) -> asio::awaitable<void> {
  auto read = ReadControl(exchange.request(), caller, action);
  if (const auto* refusal = std::get_if<problem>(&read)) {
    co_await Refuse(exchange, *refusal);
    co_return;
  }
  auto control = std::get<program::control_arrived>(std::move(read));
  auto session = call_session(exchange, replies_, hooks_.submit);
  control.request = session.request();
  hooks_.submit(std::move(control));
  co_await session.ServeControl(success_status);
}

auto caller_api::Refuse(exchange_ref exchange, const problem& refusal)
    -> asio::awaitable<void> {
  CountRefusal(metrics_registry_, refusal);
  auto response = ToResponse(refusal);
  co_await exchange.Respond(std::move(response));
}

}  // namespace daisywind::gateway
