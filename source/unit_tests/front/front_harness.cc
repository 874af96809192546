#include "front_harness.h"

#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <sstream>
#include <utility>

#include "front/front_settings.h"
#include "testing/free_port.h"

namespace daisywind::front {
namespace {

namespace asio = boost::asio;
using dispatch::route_kind;

// Generous, because the machine may be busy.
constexpr auto kStepTimeout = std::chrono::seconds(30);
constexpr auto kTestTimeout = duration(1500ms);

auto ServeRaw(asio::ip::tcp::socket socket,
              int connection,
              std::shared_ptr<front_harness::response_writer> writer)
    -> asio::awaitable<void> {
  constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);
  constexpr auto kIdField = std::string_view("Id: ");
  auto received = std::string{};
  for (auto request = 0;; ++request) {
    const auto [error, size] = co_await asio::async_read_until(
        socket, asio::dynamic_buffer(received), "\r\n\r\n", kAsTuple);
    if (error) {
      co_return;
    }
    const auto at = received.find(kIdField) + kIdField.size();
    const auto id = received.substr(at, received.find('\r', at) - at);
    received.erase(0, size);
    const auto response = (*writer)(connection, request, id);
    if (response.empty()) {
      co_return;
    }
    co_await asio::async_write(socket, asio::buffer(response), kAsTuple);
  }
}

auto AcceptRaw(asio::ip::tcp::acceptor acceptor,
               std::shared_ptr<front_harness::response_writer> writer)
    -> asio::awaitable<void> {
  for (auto connection = 0;; ++connection) {
    auto socket = co_await acceptor.async_accept(asio::use_awaitable);
    const auto executor = socket.get_executor();
    asio::co_spawn(executor, ServeRaw(std::move(socket), connection, writer),
                   asio::detached);
  }
}

auto Route(const char* prefix, route_kind kind) -> dispatch::route {
  auto item = dispatch::route{};
  item.id = dispatch::route_id(prefix);
  item.host = "h";
  item.prefix = prefix;
  item.kind = kind;
  item.timeout = kTestTimeout;
  item.latency_objective = kTestTimeout / 8;
  item.services = {{dispatch::service_id("s"), 1}};
  item.max_attempts = kind == route_kind::kIdempotent ? 2 : 1;
  item.retention = kStepTimeout;
  return item;
}

auto NumberIn(const net::http_request& from, std::string_view header)
    -> std::optional<std::uint64_t> {
  const auto text = std::string(from.Header(header));
  return text.empty() ? std::nullopt
                      : std::optional<std::uint64_t>(std::stoull(text));
}

}  // namespace

auto test_request_codec::ReadCall(const net::http_request& from) const
    -> std::optional<dispatch::call> {
  auto to = dispatch::call{};
  to.host = std::string(from.Header("Host"));
  to.path = std::string(from.Path());
  to.request_id = std::string(from.Header("Id"));
  to.program = std::string(from.Header("Program"));
  to.previous_turn = std::string(from.Header("Previous"));
  to.api_key = std::string(from.Header("Key"));
  to.token_budget = NumberIn(from, "Budget");
  to.max_output_tokens =
      static_cast<std::uint32_t>(NumberIn(from, "Max-Tokens").value_or(0));
  to.last_event_id = std::string(from.Header("After"));
  to.prompt_tokens =
      static_cast<std::uint32_t>(NumberIn(from, "Prompt-Tokens").value_or(0));
  if (const auto deadline = NumberIn(from, "Deadline-Ms")) {
    to.deadline = std::chrono::milliseconds(*deadline);
  }
  return to;
}

auto test_request_codec::MakeEndpointRequest(
    const net::http_request& from,
    const attempt_metadata& metadata) const -> net::http_request {
  auto to = net::http_request{from.method,
                              from.target,
                              {{"Host", "h"},
                               {"Id", std::string(from.Header("Id"))},
                               {"Endpoint", metadata.endpoint.value},
                               {"Urgency", std::to_string(metadata.urgency)}},
                              ""};
  if (metadata.organisation) {
    to.headers.push_back({"Organisation", metadata.organisation->value});
  }
  const auto after = metadata.resume_after.empty()
                         ? std::string(from.Header("After"))
                         : metadata.resume_after;
  if (!after.empty()) {
    to.headers.push_back({"After", after});
  }
  if (metadata.weights_version) {
    to.headers.push_back(
        {"Weights", std::to_string(*metadata.weights_version)});
  }
  return to;
}

auto test_request_codec::ReadResponse(const net::http_response& from) const
    -> response_metadata {
  auto to = response_metadata{};
  to.status = from.status;
  to.request_id = std::string(from.Header("Id"));
  to.is_not_run = !from.Header("Not-Run").empty();
  to.is_leaving = !from.Header("Leaving").empty();
  to.is_misdirected = from.status == 421;
  if (const auto limit = from.Header("Limit"); !limit.empty()) {
    to.rate_limit = std::atof(std::string(limit).c_str());
  }
  if (const auto weights = from.Header("Weights"); !weights.empty()) {
    to.weights_version = std::stoull(std::string(weights));
  }
  return to;
}

auto test_request_codec::ReadWeightsChange(std::string_view event) const
    -> std::optional<std::uint64_t> {
  constexpr auto kLine = std::string_view("weights:");
  return event.starts_with(kLine)
             ? std::optional<std::uint64_t>(
                   std::stoull(std::string(event.substr(kLine.size()))))
             : std::nullopt;
}

auto test_request_codec::MakeCallerResponse(
    const net::http_response& from) const -> net::http_response {
  return {from.status, {{"Id", std::string(from.Header("Id"))}}, ""};
}

auto test_request_codec::MakeRefusal(const refusal& from) const
    -> net::http_response {
  const auto is_failure = from.reason == refusal_reason::kNoAnswer ||
                          from.reason == refusal_reason::kTimeout;
  auto to = net::http_response{
      is_failure ? 502U : 503U, {}, std::string(ReasonName(from.reason))};
  if (from.retry_after) {
    const auto wait =
        std::chrono::ceil<std::chrono::milliseconds>(*from.retry_after);
    to.headers.push_back({"Retry-Ms", std::to_string(wait.count())});
  }
  return to;
}

auto test_request_codec::IsReadinessProbe(const net::http_request& from) const
    -> bool {
  return from.Path() == "/ready";
}

auto test_directory_codec::ReadConfiguration(std::string_view value) const
    -> std::optional<dispatch::configuration> {
  auto to = dispatch::configuration{};
  auto text = std::istringstream(std::string(value));
  text >> to.version;
  auto word = std::string{};
  if (text >> word) {
    to.organisations.emplace();
  }
  while (text >> word) {
    auto item = dispatch::organisation{};
    item.id = organisation_id(word);
    auto priority = 0;
    text >> word >> item.requests_per_second >> item.burst >> priority;
    item.api_keys = {word};
    if (priority >= 0) {
      item.priority = static_cast<std::uint32_t>(priority);
    }
    to.organisations->push_back(std::move(item));
  }
  to.routes = {Route("/once/", route_kind::kOnce),
               Route("/again/", route_kind::kIdempotent),
               Route("/stream/", route_kind::kStream),
               Route("/resume/", route_kind::kStream),
               Route("/kept/", route_kind::kStream),
               Route("/open/", route_kind::kOnce),
               Route("/slow/", route_kind::kOnce)};
  to.routes.back().timeout = kStepTimeout;
  to.routes.push_back(Route("/engine/", route_kind::kStream));
  to.routes.back().services = {{dispatch::service_id("engines"), 1}};
  to.routes.back().timeout = kStepTimeout;
  // Requests wait for a quarter of it.
  to.routes.back().latency_objective = 4 * kStepTimeout;
  to.routes[3].is_resumable = true;
  to.routes[3].max_attempts = 2;
  to.routes[4].stores_turns = true;
  to.routes[5].is_public = true;
  to.services = {{dispatch::service_id("s"), 0, std::nullopt},
                 {dispatch::service_id("engines"), 0,
                  dispatch::engine_profile{kTestSlots, kTestMemoryTokens, 1}}};
  return to.version == 0 ? std::nullopt
                         : std::optional<dispatch::configuration>(to);
}

auto test_directory_codec::ReadEndpoint(const endpoint_id& id,
                                        std::string_view value) const
    -> std::optional<dispatch::endpoint> {
  if (!net::ParseSocketAddress(value)) {
    return std::nullopt;
  }
  auto to = dispatch::endpoint{};
  to.id = id;
  to.service =
      dispatch::service_id(id.value.starts_with("engine") ? "engines" : "s");
  to.address = std::string(value);
  to.slots = kTestSlots;
  return to;
}

front_harness::front_harness(int response_mb,
                             std::shared_ptr<asio::io_context> shared,
                             std::chrono::seconds grace,
                             std::chrono::milliseconds keys_withdrawn,
                             bool engines_crash_when_full)
    : shared_context_(std::move(shared)),
      context(*shared_context_),
      store(context),
      front_port_(testing::FreePort(context)),
      ready_port_(testing::FreePort(context)),
      metrics_port_(testing::FreePort(context)),
      relay_address_("127.0.0.1:" +
                     std::to_string(testing::FreePort(context))) {
  auto values = settings(FrontSchema());
  const auto text =
      R"({"vm":"v","failure_domain":"d","region":"r","listen":{"callers":"127.0.0.1:)" +
      std::to_string(front_port_) + R"(","ready":"127.0.0.1:)" +
      std::to_string(ready_port_) + R"(","metrics":"127.0.0.1:)" +
      std::to_string(metrics_port_) + R"(","relay":")" + relay_address_ +
      R"("},"store":{"address":"127.0.0.1:1"},"limits":{"response_mb":)" +
      std::to_string(response_mb) + R"(},"stop":{"grace_s":)" +
      std::to_string(grace.count()) + R"(},"api_keys":{"withdrawn_ms":)" +
      std::to_string(keys_withdrawn.count()) + "}}";
  const auto is_read = leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(values.AddText("test", text));
        BOOST_LEAF_CHECK(values.CheckRequired());
        return true;
      },
      [] { return false; });
  REQUIRE(is_read);
  node_ =
      std::make_unique<front_node>(context, values,
                                   adapters{request_codec_, directory_codec_,
                                            store, engines_crash_when_full});
  REQUIRE(node_->Start());
  client_ = std::make_unique<net::http_client>(context);
}

front_harness::~front_harness() {
  // Stopping the context ends the loops that the front has started.
  context.stop();
}

auto front_harness::AddEndpoint(const std::string& id, endpoint_handler handler)
    -> void {
  auto server = std::make_unique<net::http_server>(context, net::http_limits{},
                                                   std::move(handler));
  const auto port = server->Listen({"127.0.0.1", 0});
  REQUIRE(port != 0);
  servers_.push_back(std::move(server));
  Register(id, port);
}

auto front_harness::AddClosingEndpoint(const std::string& id,
                                       std::string response) -> void {
  // Nothing of a request without a body is left unread.
  AddEarlyEndpoint(
      id, {std::move(response), testing::connection_end::kCloseUnread});
}

auto front_harness::AddRawEndpoint(const std::string& id,
                                   response_writer writer) -> void {
  auto acceptor =
      asio::ip::tcp::acceptor(context, {asio::ip::address_v4::loopback(), 0});
  const auto port = acceptor.local_endpoint().port();
  asio::co_spawn(
      context,
      AcceptRaw(std::move(acceptor),
                std::make_shared<response_writer>(std::move(writer))),
      asio::detached);
  Register(id, port);
}

auto front_harness::AddEarlyEndpoint(const std::string& id,
                                     testing::early_response response) -> void {
  Register(id, testing::StartEarlyEndpoint(context, std::move(response)));
}

auto front_harness::AddUnreachableEndpoint(const std::string& id) -> void {
  // Connections to a socket that does not listen are refused.
  auto& socket = unreachable_.emplace_back(context, asio::ip::tcp::v4());
  socket.bind({asio::ip::address_v4::loopback(), 0});
  Register(id, socket.local_endpoint().port());
}

auto front_harness::SetFronts(const std::vector<std::string>& relay_addresses)
    -> void {
  auto fronts = std::vector<history::sender_state>{};
  for (const auto& address : relay_addresses) {
    fronts.push_back({{vm_id(address), {}, {}}, address, true});
  }
  node_->paths().SetFronts(std::move(fronts));
}

auto front_harness::UseJournals(const std::vector<std::string>& addresses)
    -> void {
  auto view = history::view{1, {}};
  for (const auto& address : addresses) {
    view.members.push_back({vm_id(address), history::disk_id(address), address,
                            failure_domain_id("d"), region_id("r")});
  }
  node_->turns().Adopt(view);
}

auto front_harness::Register(const std::string& id, std::uint16_t port)
    -> void {
  ++endpoints_;
  store.Put("endpoints/" + id, "127.0.0.1:" + std::to_string(port));
}

auto front_harness::Configure(const std::string& value) -> void {
  store.Put("configuration", value);
  const auto version = std::stoull(value);
  REQUIRE(RunUntil([&] {
    return node_->service_directory().routes().version() == version &&
           node_->service_directory().endpoints().size() == endpoints_;
  }));
}

auto front_harness::IsReady() -> bool {
  auto request = net::http_request{};
  request.method = "GET";
  request.target = "/ready";
  request.headers = {{"Host", "h"}};
  auto result = std::optional<net::http_result>{};
  asio::co_spawn(
      context,
      client_->Send({"127.0.0.1", static_cast<std::uint16_t>(ready_port_)},
                    std::move(request), net::http_options{}),
      [&](const std::exception_ptr&, net::http_result received) {
        result = std::move(received);
      });
  REQUIRE(RunUntil([&] { return result.has_value(); }));
  return result->response.status == 200;
}

auto front_harness::Request(const std::string& kind, const std::string& id)
    -> net::http_request {
  auto request = net::http_request{};
  request.method = kind == "again" ? "GET" : "POST";
  request.target = "/" + kind + "/x";
  request.headers = {{"Host", "h"}, {"Id", id}};
  return request;
}

auto front_harness::Send(const std::string& kind,
                         const std::string& id,
                         net::http_headers headers,
                         std::string body) -> net::http_result {
  auto result = std::optional<net::http_result>{};
  StartSend(kind, id, result, std::move(headers), std::move(body));
  REQUIRE(RunUntil([&] { return result.has_value(); }));
  return std::move(*result);
}

auto front_harness::StartSend(const std::string& kind,
                              const std::string& id,
                              std::optional<net::http_result>& result,
                              net::http_headers headers,
                              std::string body) -> void {
  auto options = net::http_options{};
  options.resend_on_stale = false;
  auto request = Request(kind, id);
  request.headers.insert(request.headers.end(), headers.begin(), headers.end());
  request.body = std::move(body);
  asio::co_spawn(
      context,
      client_->Send({"127.0.0.1", static_cast<std::uint16_t>(front_port_)},
                    std::move(request), std::move(options)),
      [&](const std::exception_ptr&, net::http_result received) {
        result = std::move(received);
      });
}

auto front_harness::Metrics() -> std::string {
  auto request = net::http_request{};
  request.method = "GET";
  request.target = "/metrics";
  auto result = std::optional<net::http_result>{};
  asio::co_spawn(
      context,
      client_->Send({"127.0.0.1", static_cast<std::uint16_t>(metrics_port_)},
                    std::move(request), net::http_options{}),
      [&](const std::exception_ptr&, net::http_result received) {
        result = std::move(received);
      });
  REQUIRE(RunUntil([&] { return result.has_value(); }));
  return result->response.body;
}

auto front_harness::SendAndDisconnect(const std::string& kind,
                                      const std::string& id,
                                      const std::function<bool()>& condition)
    -> void {
  auto is_over = false;
  auto options = net::http_options{};
  options.resend_on_stale = false;
  options.cancellation = std::make_shared<net::http_cancellation>();
  const auto cancel_handle = options.cancellation;
  asio::co_spawn(
      context,
      client_->Send({"127.0.0.1", static_cast<std::uint16_t>(front_port_)},
                    Request(kind, id), std::move(options)),
      [&](const std::exception_ptr&, const net::http_result&) {
        is_over = true;
      });
  REQUIRE(RunUntil(condition));
  cancel_handle->Cancel();
  REQUIRE(RunUntil([&] { return is_over; }));
}

auto front_harness::RunUntil(const std::function<bool()>& condition) -> bool {
  const auto end = std::chrono::steady_clock::now() + kStepTimeout;
  while (!condition() && std::chrono::steady_clock::now() < end) {
    context.restart();
    context.run_for(std::chrono::milliseconds(2));
  }
  return condition();
}

}  // namespace daisywind::front
