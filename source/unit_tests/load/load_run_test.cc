#include "load/load_run.h"

#include <doctest/doctest.h>

#include <boost/asio.hpp>
#include <set>
#include <thread>

#include "net/http_server.h"
#include "standin/answer.h"
#include "standin/json_body.h"

namespace daisywind::load {
namespace {

namespace asio = boost::asio;

// Faults that the fake gateway injects. Zero disables a fault.
struct gateway_faults {
  // One request in this many is refused, aborted or answered wrongly.
  std::size_t refuse_every = 0;
  std::size_t abort_every = 0;
  std::size_t wrong_every = 0;
};

// A gateway that generates the responses itself, on its own thread.
class fake_gateway {
 public:
  explicit fake_gateway(gateway_faults faults)
      : faults_(faults),
        server_(
            context_,
            {},
            [this](net::http_exchange& exchange) { return Handle(exchange); }),
        port_(server_.Listen({"127.0.0.1", 0})),
        thread_([this] { context_.run(); }) {}

  fake_gateway(const fake_gateway&) = delete;
  auto operator=(const fake_gateway&) -> fake_gateway& = delete;

  ~fake_gateway() {
    context_.stop();
    thread_.join();
  }

  [[nodiscard]] auto address() const -> net::socket_address {
    return {"127.0.0.1", port_};
  }

 private:
  static auto ShouldInject(std::size_t request, std::size_t every) -> bool {
    return every != 0 && request % every == 0;
  }

  auto Handle(net::http_exchange& exchange) -> asio::awaitable<void> {
    const auto number = ++requests_;
    if (ShouldInject(number, faults_.refuse_every)) {
      auto refusal = standin::Problem(503, "overloaded");
      co_await exchange.Respond(std::move(refusal));
      co_return;
    }
    if (ShouldInject(number, faults_.abort_every)) {
      // The HTTP client itself retries requests that fail before the response
      // head, so the connection is aborted after it.
      auto head = net::http_response{200, {}, ""};
      co_await exchange.StartStream(std::move(head));
      co_await exchange.WriteChunk("cut");
      exchange.Abort();
      co_return;
    }
    const auto earlier_chat = last_chat_;
    auto response = Answer(exchange.request());
    const auto is_wrong = ShouldInject(number, faults_.wrong_every) &&
                          exchange.request().Path() == "/v1/chat/completions";
    if (is_wrong) {
      response = Answer(earlier_chat);
    }
    co_await exchange.Respond(std::move(response));
  }

  auto Answer(const net::http_request& request) -> net::http_response {
    const auto path = std::string(request.Path());
    if (path == "/v1/chat/completions") {
      last_chat_ = request;
      return ChatAnswer(request);
    }
    constexpr std::string_view kServices = "/v1/services/";
    if (path.starts_with(kServices)) {
      const auto target = path.find('/', kServices.size());
      return net::JsonResponse(200, standin::ExpectedServiceAnswer(
                                        path.substr(target), request.body));
    }
    return net::JsonResponse(201, R"({"program":"aa.1.vm-1@1.-.-"})");
  }

  static auto ChatAnswer(const net::http_request& request)
      -> net::http_response {
    const auto body = ParseObject(request.body).value_or(json::object{});
    const auto* messages = ArrayOrNull(body, "messages");
    const auto text =
        standin::ExpectedAnswer(StringOr(body, "model", ""),
                                messages == nullptr ? json::array{} : *messages,
                                IntegerOr(body, "max_tokens", 0));
    if (!BoolOr(body, "stream", false)) {
      const auto message = json::object{{"content", text}};
      const auto choice = json::object{{"message", message}};
      const auto choices = json::array{json::value(choice)};
      return standin::Ok({{"choices", choices}});
    }
    const auto delta = json::object{{"content", text}};
    const auto choice = json::object{{"delta", delta}};
    const auto choices = json::array{json::value(choice)};
    const auto event = json::object{{"offset", 0}, {"choices", choices}};
    return {200,
            {},
            net::FormatSseEvent(json::serialize(event)) +
                net::FormatSseEvent("[DONE]")};
  }

  asio::io_context context_;
  gateway_faults faults_;
  std::size_t requests_ = 0;
  net::http_request last_chat_;
  net::http_server server_;
  std::uint16_t port_;
  std::thread thread_;
};

auto Run(const std::vector<net::socket_address>& gateways) -> load_outcome {
  auto options = load_options{};
  options.gateways = gateways;
  options.organisation = "choclo";
  options.workload = FindDeployment("choclo");
  options.plan = {30, 1000, 1000};
  options.client.key = "key";
  return RunLoad(options, [](const load_progress&) {});
}

auto ProgramCount(const load_outcome& outcome, std::string_view name)
    -> std::int64_t {
  return outcome.report.at("programs").at(name).to_number<std::int64_t>();
}

}  // namespace

TEST_CASE("programs finish despite refusals, broken and refused connections") {
  const auto good = fake_gateway({7, 11, 0});
  const auto closed = net::socket_address{"127.0.0.1", 1};
  const auto outcome = Run({good.address(), closed});
  CHECK(ProgramCount(outcome, "started") == 30);
  CHECK(ProgramCount(outcome, "finished") == 30);
  CHECK_FALSE(outcome.has_wrong_answer);
  CHECK(outcome.report.at("refusals").at("not_run").as_int64() > 0);
  CHECK(outcome.report.at("refused_connections").as_int64() > 0);
  CHECK(outcome.report.at("broken_connections").as_int64() > 0);
}

TEST_CASE("the response to another program is reported as wrong") {
  const auto faulty = fake_gateway({0, 0, 5});
  const auto outcome = Run({faulty.address()});
  CHECK(outcome.has_wrong_answer);
  CHECK(ProgramCount(outcome, "wrong") > 0);
}

}  // namespace daisywind::load
