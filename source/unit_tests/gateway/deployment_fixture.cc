#include "deployment_fixture.h"

#include <doctest/doctest.h>

#include <utility>

#include "common/digest.h"
#include "configuration/storage.h"
#include "gateway/gateway_settings.h"
#include "kv/client.h"
#include "standin/role.h"
#include "testing/free_port.h"

namespace daisywind::gateway {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr auto kLoopback = "127.0.0.1";

auto Loopback(std::uint16_t port) -> std::string {
  return std::string(kLoopback) + ":" + std::to_string(port);
}

}  // namespace

test_deployment::test_deployment(std::size_t node_count) : client_(context_) {
  kv_port_ = StartStandIn("kv", {});
  auto engine = standin::stand_in_options{};
  engine.models = {{"agent", "1"}};
  engine.prefill_per_token = 1us;
  engine.decode_per_token = 200us;
  engine.metrics_lag = 10ms;
  engine_ports_ = {StartStandIn("engine", engine),
                   StartStandIn("engine", engine)};
  auto service = standin::stand_in_options{};
  service.run_time = 1ms;
  service_port_ = StartStandIn("service", service);
  Run([this] { return WriteConfiguration(); });
  for (auto i = std::size_t{0}; i < node_count; ++i) {
    peer_ports_.push_back(testing::FreePort(context_));
  }
  for (auto i = std::size_t{0}; i < node_count; ++i) {
    StartNode(i);
  }
}

auto test_deployment::Run(std::function<asio::awaitable<void>()> work) -> void {
  context_.restart();
  asio::co_spawn(context_, std::move(work),
                 [this](const std::exception_ptr& error) {
                   context_.stop();
                   if (error) {
                     std::rethrow_exception(error);
                   }
                 });
  context_.run();
}

auto test_deployment::Call(std::size_t node, net::http_request request)
    -> asio::awaitable<net::http_response> {
  request.headers.push_back(
      {"Authorization", "Bearer " + std::string(kOrganisationKey)});
  co_return co_await SendTo(nodes_.at(node).caller_port, std::move(request));
}

auto test_deployment::Admin(std::size_t node, net::http_request request)
    -> asio::awaitable<net::http_response> {
  request.headers.push_back(
      {"Authorization", "Bearer " + std::string(kOperatorKey)});
  co_return co_await SendTo(nodes_.at(node).admin_port, std::move(request));
}

auto test_deployment::SendTo(std::uint16_t port, net::http_request request)
    -> asio::awaitable<net::http_response> {
  auto address = net::socket_address{kLoopback, port};
  auto options = net::http_options{};
  options.connection = net::connection_use::kNew;
  auto result =
      co_await client_.Send(std::move(address), std::move(request), options);
  co_return std::move(result.response);
}

auto test_deployment::WaitReady() -> asio::awaitable<void> {
  for (auto i = std::size_t{0}; i < nodes_.size(); ++i) {
    auto is_ready = false;
    while (!is_ready) {
      auto ready_request = net::http_request{"GET", "/readyz", {}, ""};
      const auto ready_response = co_await Call(i, std::move(ready_request));
      auto status_request =
          net::http_request{"GET", "/admin/v1/status", {}, ""};
      const auto status_response = co_await Admin(i, std::move(status_request));
      const auto body = json::parse(status_response.body);
      const auto* members = ArrayOrNull(body.get_object(), "members");
      is_ready = ready_response.status == 200 && members != nullptr &&
                 members->size() == nodes_.size();
      co_await WaitPollInterval();
    }
  }
}

auto test_deployment::WaitPollInterval() -> asio::awaitable<void> {
  auto timer = asio::steady_timer(context_, 20ms);
  co_await timer.async_wait(asio::use_awaitable);
}

auto test_deployment::StartStandIn(const std::string& stand_in_role,
                                   const standin::stand_in_options& options)
    -> std::uint16_t {
  auto made = std::make_unique<standin::stand_in>(
      context_, stand_in_role,
      standin::MakeRole(stand_in_role, context_, options));
  const auto port = made->Listen({kLoopback, 0});
  REQUIRE(port != 0);
  stand_ins_.push_back(std::move(made));
  return port;
}

auto test_deployment::StartNode(std::size_t index) -> void {
  static constexpr auto kLocations =
      std::to_array<std::pair<const char*, const char*>>(
          {{"cordoba-a", "cordoba"},
           {"cordoba-b", "cordoba"},
           {"rosario-a", "rosario"}});
  const auto [failure_domain, region] =
      kLocations.at(index % kLocations.size());
  auto running = running_node{};
  running.caller_port = testing::FreePort(context_);
  running.admin_port = testing::FreePort(context_);
  auto values = settings(GatewaySchema());
  const auto text =
      json::object{{"vm", "vm-" + std::to_string(index)},
                   {"failure_domain", failure_domain},
                   {"region", region},
                   {"listen.callers", Loopback(running.caller_port)},
                   {"listen.admin", Loopback(running.admin_port)},
                   {"listen.peers", Loopback(peer_ports_.at(index))},
                   {"peers.seeds", json::array{Loopback(peer_ports_.front())}},
                   {"key_value.addresses", json::array{Loopback(kv_port_)}},
                   {"operator.key_digest", Sha256Hex(kOperatorKey)},
                   {"poll.load_ms", 20}};
  REQUIRE(values.AddText("test", json::serialize(text)));
  running.instance = std::make_unique<node>(context_, values);
  REQUIRE(running.instance->Start());
  nodes_.push_back(std::move(running));
}

auto test_deployment::WriteConfiguration() -> asio::awaitable<void> {
  auto addresses = std::vector<net::socket_address>{};
  addresses.push_back({kLoopback, kv_port_});
  auto kv_client = kv::client(context_, std::move(addresses), {});
  auto document = configuration::ParseDocument(Document());
  REQUIRE(document);
  const auto info = configuration::version_info{};
  for (const auto& request :
       configuration::InitialVersionRequests(*document, info)) {
    const auto result = co_await kv_client.Txn(request);
    REQUIRE(result.outcome == kv::outcome::kAnswered);
  }
}

auto test_deployment::Document() const -> std::string {
  auto endpoints = json::object{};
  for (auto i = std::size_t{0}; i < engine_ports_.size(); ++i) {
    const auto* failure_domain = i == 0 ? "cordoba-a" : "rosario-a";
    endpoints["agent-" + std::to_string(i)] =
        json::object{{"address", Loopback(engine_ports_[i])},
                     {"failure_domain", failure_domain},
                     {"kind", "engine"},
                     {"checks_fencing", true},
                     {"capacity", 8},
                     {"role", "serving"},
                     {"models", json::array{"agent"}},
                     {"adapters", json::array{}}};
  }
  endpoints["cart-0"] = json::object{{"address", Loopback(service_port_)},
                                     {"failure_domain", "cordoba-a"},
                                     {"kind", "service"},
                                     {"capacity", 8},
                                     {"role", "serving"},
                                     {"services", json::array{"cart"}}};
  const auto organisation = json::object{
      {"key_digest", Sha256Hex(kOrganisationKey)},
      {"share", 1.0},
      {"classes", json::object{{"vendor", json::object{{"rank", 0}}},
                               {"customer", json::object{{"rank", 1}}}}}};
  const auto document = json::object{
      {"failure_domains",
       json::object{{"cordoba-a", json::object{{"region", "cordoba"}}},
                    {"cordoba-b", json::object{{"region", "cordoba"}}},
                    {"rosario-a", json::object{{"region", "rosario"}}}}},
      {"organisations", json::object{{"choclo", organisation}}},
      {"models", json::object{{"agent", json::object{{"version", "1"}}}}},
      {"adapters", json::object{}},
      {"services", json::object{{"cart", json::object{{"lookup", false}}}}},
      {"endpoints", endpoints},
      {"need", json::object{{"agent", 1}, {"cart", 1}}},
      {"migration", json::object{{"deadline_seconds", 60}}}};
  return json::serialize(document);
}

auto Post(std::string target,
          const json::value& body,
          net::http_headers headers) -> net::http_request {
  headers.push_back({"Content-Type", "application/json"});
  return {"POST", std::move(target), std::move(headers), json::serialize(body)};
}

}  // namespace daisywind::gateway
