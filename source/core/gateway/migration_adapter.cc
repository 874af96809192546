#include "gateway/migration_adapter.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>
#include <variant>
#include <vector>

#include "common/json.h"
#include "common/process_clock.h"
#include "gateway/endpoint_calls.h"
#include "gateway/json_calls.h"

namespace daisywind::gateway {
namespace {

namespace asio = boost::asio;

constexpr auto kOk = 200U;
constexpr auto kAccepted = 202U;
constexpr auto kConflict = 409U;

template <class Names>
auto NamesToJson(const Names& names) -> json::object {
  auto object = json::object{};
  for (const auto& [name, version] : names) {
    object[name.value] = version;
  }
  return object;
}

template <class Id>
auto NamesFromJson(const json::object& object, std::string_view key)
    -> std::map<Id, std::string> {
  auto names = std::map<Id, std::string>{};
  const auto* members = ObjectOrNull(object, key);
  if (members == nullptr) {
    return names;
  }
  for (const auto& [name, version] : *members) {
    if (version.is_string()) {
      names[Id(std::string(name))] = std::string(version.get_string());
    }
  }
  return names;
}

auto ParseRole(const std::string& text) -> migration::endpoint_role {
  if (text == migration::ToString(migration::endpoint_role::kDraining)) {
    return migration::endpoint_role::kDraining;
  }
  if (text == migration::ToString(migration::endpoint_role::kEmpty)) {
    return migration::endpoint_role::kEmpty;
  }
  return migration::endpoint_role::kServing;
}

auto ParseEngineReport(const json::object& object) -> migration::engine_report {
  auto report = migration::engine_report{};
  report.models = NamesFromJson<model_id>(object, "models");
  report.adapters = NamesFromJson<adapter_id>(object, "adapters");
  report.role = ParseRole(StringOr(object, "role", "serving"));
  report.version = CountOrZero(object, "version");
  report.fence = CountOrZero(object, "fence");
  report.running = CountOrZero(object, "running");
  report.sessions = CountOrZero(object, "sessions");
  if (const auto* loading = ArrayOrNull(object, "loading")) {
    for (const auto& item : *loading) {
      if (item.is_string()) {
        report.loading.emplace(item.get_string());
      }
    }
  }
  return report;
}

auto OrderBody(const migration::send_order& order) -> std::string {
  auto wanted = json::object{};
  wanted["models"] = NamesToJson(order.wanted.models);
  wanted["adapters"] = NamesToJson(order.wanted.adapters);
  wanted["role"] = migration::ToString(order.wanted.role);
  auto body = json::object{};
  body["fence"] = order.fence;
  body["version"] = order.version;
  body["wanted"] = std::move(wanted);
  return json::serialize(body);
}

auto ToOrderOutcome(const net::http_result& answer)
    -> migration::order_outcome {
  if (answer.outcome == net::http_outcome::kNotSent) {
    return migration::order_outcome::kRejected;
  }
  if (answer.outcome == net::http_outcome::kNoAnswer) {
    return migration::order_outcome::kUnknown;
  }
  if (answer.response.status == kAccepted || answer.response.status == kOk) {
    return migration::order_outcome::kAccepted;
  }
  return answer.response.status == kConflict
             ? migration::order_outcome::kStaleFence
             : migration::order_outcome::kRejected;
}

auto OrderRequest(const migration::send_order& order) -> net::http_request {
  return {"POST",
          "/v1/orders",
          {{"Content-Type", "application/json"}},
          OrderBody(order)};
}

}  // namespace

migration_adapter::migration_adapter(asio::io_context& context,
                                     net::http_client& client,
                                     reconciler_lease& lease,
                                     routing_handler on_routing)
    : context_(context),
      client_(client),
      lease_(lease),
      on_routing_(std::move(on_routing)),
      system_(migration::migration_options{}) {}

auto migration_adapter::Submit(const migration::event& event) -> void {
  Execute(system_.Handle(event, Now()));
}

auto migration_adapter::Tick() -> void {
  Execute(system_.Tick(Now()));
}

auto migration_adapter::Progress() const -> migration::migration_progress {
  return system_.Progress(Now());
}

auto migration_adapter::Execute(const std::vector<migration::command>& commands)
    -> void {
  for (const auto& item : commands) {
    std::visit([this](const auto& command) { Execute(command); }, item);
  }
}

auto migration_adapter::Execute(const migration::acquire_lease& command)
    -> void {
  SubmitWhenDone(lease_.Acquire(command.time_to_live));
}

auto migration_adapter::Execute(const migration::renew_lease& command) -> void {
  SubmitWhenDone(lease_.Renew(command.fence, command.time_to_live));
}

auto migration_adapter::Execute(const migration::release_lease&) -> void {
  asio::co_spawn(context_, lease_.Release(), asio::detached);
}

auto migration_adapter::Execute(const migration::send_order& command) -> void {
  asio::co_spawn(context_, SendOrder(command),
                 [this](const std::exception_ptr&,
                        migration::order_result result) { Submit(result); });
}

auto migration_adapter::Execute(const migration::read_state& command) -> void {
  addresses_[command.endpoint] = command.address;
  if (command.kind == migration::endpoint_kind::kEngine) {
    SubmitWhenDone(ReadEngine(command));
  } else {
    SubmitWhenDone(ReadService(command));
  }
}

auto migration_adapter::Execute(const migration::routing_state& command)
    -> void {
  on_routing_(command);
}

auto migration_adapter::Execute(const migration::release_sessions& command)
    -> void {
  const auto found = addresses_.find(command.endpoint);
  if (found != addresses_.end()) {
    asio::co_spawn(context_, ReleaseSessions(found->second), asio::detached);
  }
}

auto migration_adapter::SendOrder(migration::send_order command)
    -> asio::awaitable<migration::order_result> {
  auto result =
      migration::order_result{command.endpoint, command.fence, command.version,
                              migration::order_outcome::kRejected};
  auto address = net::ParseSocketAddress(command.address);
  if (!address || Now() >= command.send_before) {
    co_return result;
  }
  auto request = OrderRequest(command);
  const auto options = ShortOptions();
  const auto answer =
      co_await client_.Send(*address, std::move(request), options);
  result.outcome = ToOrderOutcome(answer);
  co_return result;
}

auto migration_adapter::ReadEngine(migration::read_state command)
    -> asio::awaitable<migration::event> {
  const auto requested_at = Now();
  const auto address =
      net::ParseSocketAddress(command.address).value_or(net::socket_address{});
  const auto body = co_await GetObject(client_, address, "/v1/state");
  if (!body) {
    co_return migration::endpoint_unreachable{command.endpoint};
  }
  co_return migration::engine_state{command.endpoint, ParseEngineReport(*body),
                                    requested_at};
}

auto migration_adapter::ReadService(migration::read_state command)
    -> asio::awaitable<migration::event> {
  const auto requested_at = Now();
  const auto address =
      net::ParseSocketAddress(command.address).value_or(net::socket_address{});
  const auto body = co_await GetObject(client_, address, "/v1/load");
  if (!body) {
    co_return migration::endpoint_unreachable{command.endpoint};
  }
  auto report = migration::engine_report{};
  report.running = CountOrZero(*body, "running") + CountOrZero(*body, "queued");
  co_return migration::engine_state{command.endpoint, report, requested_at};
}

// The sessions that remain on an endpoint without work are pinned prefixes,
// which any VM may release.
auto migration_adapter::ReleaseSessions(std::string address)
    -> asio::awaitable<void> {
  const auto parsed_address = net::ParseSocketAddress(address);
  if (!parsed_address) {
    co_return;
  }
  const auto held = co_await ReadSessions(client_, *parsed_address);
  if (!held) {
    co_return;
  }
  for (const auto& program : *held) {
    co_await ReleaseSession(client_, *parsed_address, program);
  }
}

auto migration_adapter::SubmitWhenDone(asio::awaitable<migration::event> work)
    -> void {
  asio::co_spawn(context_, std::move(work),
                 [this](const std::exception_ptr&,
                        const migration::event& event) { Submit(event); });
}

}  // namespace daisywind::gateway
